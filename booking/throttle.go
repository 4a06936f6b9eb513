package booking

import (
	"sync"

	"cuminhollow.example/clock"
)

// Parameters of a Throttle.
const (
	// throttleWindow is the span over which failures are counted, in
	// milliseconds.
	throttleWindow clock.Millis = 100
	// throttleCut is kept of the calls after each onward call that fails, and
	// throttleFloor after all those of one window.
	throttleCut   = 0.92
	throttleFloor = 0.5
	// throttleFirst is the growth after the first window without failures;
	// it doubles with each further one up to throttleLimit.
	throttleFirst = 0.02
	throttleLimit = 0.5
	// throttleMin keeps some calls going, so that recovery is noticed.
	throttleMin = 0.01
)

// Throttle refuses calls whose onward calls would fail, before any work is
// done for them. It learns, for each group of calls, which share of the onward
// calls fails. It is safe for concurrent use. Create it with NewThrottle.
type Throttle struct {
	// random returns a number from 0 to 1, 1 excluded.
	random func() float64
	mu     sync.Mutex
	// groups has at most maxKinds entries.
	groups map[string]*throttled
}

// throttled is the state of one group.
type throttled struct {
	// admit is the share of calls let through, from throttleMin to 1; floor is
	// the least that it becomes in this window.
	admit, floor float64
	// growth is the relative growth of admit after the next window without
	// failures.
	growth float64
	// failed tells whether an onward call failed in this window.
	failed     bool
	windowEnds clock.Millis
}

// NewThrottle returns a throttle that lets everything through at first.
func NewThrottle(random func() float64) *Throttle {
	return &Throttle{random: random, groups: make(map[string]*throttled)}
}

// Note learns the end of an onward call of a group.
func (t *Throttle) Note(now clock.Millis, group string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[group]
	if g == nil {
		if !failed || len(t.groups) >= maxKinds {
			return
		}
		g = &throttled{admit: 1, floor: throttleFloor, growth: throttleFirst, windowEnds: now + throttleWindow}
		t.groups[group] = g
	}
	g.roll(now)
	if failed {
		g.failed = true
		g.admit = max(g.admit*throttleCut, g.floor, throttleMin)
	}
	if g.admit == 1 {
		delete(t.groups, group)
	}
}

// roll judges every window that has ended. A window without onward calls
// counts as good: only more calls can tell.
func (g *throttled) roll(now clock.Millis) {
	for now >= g.windowEnds && (g.admit < 1 || g.failed) {
		g.judge()
		g.windowEnds += throttleWindow
	}
	g.windowEnds = max(g.windowEnds, now)
}

// judge lets more calls through after a window without failures.
func (g *throttled) judge() {
	if g.failed {
		g.growth = throttleFirst
	} else {
		g.admit = min(1, g.admit*(1+g.growth))
		g.growth = min(2*g.growth, throttleLimit)
	}
	g.failed = false
	g.floor = g.admit * throttleFloor
}

// Admit reports whether a call of a group is worth running.
func (t *Throttle) Admit(now clock.Millis, group string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[group]
	if g == nil {
		return true
	}
	g.roll(now)
	return t.random() < g.admit
}

// Share returns the share of the calls of a group that are let through.
func (t *Throttle) Share(group string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[group]; g != nil {
		return g.admit
	}
	return 1
}
