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
	// throttleShare is the share of failures that is accepted: it tells that
	// the services further down are in full use.
	throttleShare = 0.02
	// throttleFirst is the growth after the first window without too many
	// failures; it doubles with each further one up to throttleLimit.
	throttleFirst = 0.02
	throttleLimit = 0.5
	// throttleCut is the least part of the calls that is kept after one window:
	// few calls say little about the capacity.
	throttleCut = 0.5
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
	// admit is the share of calls let through, from throttleMin to 1.
	admit float64
	// growth is the relative growth of admit after the next good window.
	growth     float64
	good, bad  int
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
		g = &throttled{admit: 1, growth: throttleFirst, windowEnds: now + throttleWindow}
		t.groups[group] = g
	}
	if failed {
		g.bad++
	} else {
		g.good++
	}
	g.roll(now)
	if g.admit == 1 && g.bad == 0 {
		delete(t.groups, group)
	}
}

// roll judges every window that has ended. A window without onward calls
// counts as good: only more calls can tell.
func (g *throttled) roll(now clock.Millis) {
	for now >= g.windowEnds && (g.admit < 1 || g.good+g.bad > 0) {
		g.judge()
		g.windowEnds += throttleWindow
	}
	g.windowEnds = max(g.windowEnds, now)
}

// judge moves the share of calls let through at the end of a window.
func (g *throttled) judge() {
	share := float64(g.bad) / float64(max(g.good+g.bad, 1))
	if share > throttleShare {
		keep := max(1-share+throttleShare, throttleCut)
		g.admit = max(throttleMin, g.admit*keep)
		g.growth = throttleFirst
	} else {
		g.admit = min(1, g.admit*(1+g.growth))
		g.growth = min(2*g.growth, throttleLimit)
	}
	g.good, g.bad = 0, 0
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
