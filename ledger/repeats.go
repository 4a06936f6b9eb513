package ledger

import (
	"sync"

	"cuminhollow.example/clock"
)

const (
	// repeatSlots is the number of parts of a window that are counted apart.
	repeatSlots = 20
	// repeatHistory is the number of parts that are kept: two windows and the part
	// that lies partly before them. The window that ends now begins within
	// oldestSlot of them.
	repeatHistory = 2*repeatSlots + 1
	oldestSlot    = repeatHistory - 1 - repeatSlots
	// repeatBurst is the part of a window's repeats that may be taken at once; the
	// rest is spread over the window.
	repeatBurst = 0.3
)

// Repeats bounds the requests that reach one upstream again: in any window to a
// share of the first ones, counted in that window, the one before it or the one
// half a window before it, whichever has most, and a number beyond. It is safe
// for concurrent use. Create it with NewRepeats.
type Repeats struct {
	mu     sync.Mutex
	share  float64
	spare  float64
	window clock.Millis
	// slots is a ring; last is the number of its newest slot.
	slots [repeatHistory]repeatSlot
	last  int64
	// ready is the number of repeats that the pace allows at present, as of
	// readyAt; negative before the first.
	ready   float64
	readyAt clock.Millis
}

type repeatSlot struct {
	first, again float64
}

// NewRepeats allows repeats up to a share of the first requests of a window,
// and spare more.
func NewRepeats(share, spare float64, window clock.Millis) *Repeats {
	return &Repeats{share: share, spare: spare, window: max(window, repeatSlots), ready: -1}
}

// SetSpare sets how many repeats are allowed beyond the share.
func (r *Repeats) SetSpare(spare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spare = spare
}

// First notes a request that reaches the upstream for the first time.
func (r *Repeats) First(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slot(now).first++
}

// Take asks for one repeat and reports whether it is allowed.
func (r *Repeats) Take(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slot(now)
	sums := r.sums()
	if !r.paced(now, sums) || !r.fits(sums) {
		return false
	}
	r.ready--
	s.again++
	return true
}

// Left returns how many repeats may be taken at once at a time.
func (r *Repeats) Left(now clock.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slot(now)
	sums := r.sums()
	r.paced(now, sums)
	left := r.ready
	for slot := oldestSlot; slot < repeatHistory; slot++ {
		left = min(left, r.allowed(sums, slot)-(sums[repeatHistory].again-sums[slot].again))
	}
	return int(max(0, left))
}

// repeatSums holds, for each slot, the oldest first, the counts of all slots
// before it.
type repeatSums [repeatHistory + 1]repeatSlot

func (r *Repeats) sums() *repeatSums {
	var out repeatSums
	size := int64(len(r.slots))
	for i := range size {
		s := r.slots[(r.last+1+i)%size]
		out[i+1] = repeatSlot{first: out[i].first + s.first, again: out[i].again + s.again}
	}
	return &out
}

// firsts counts the first requests of the slots from one on and before another.
func (s *repeatSums) firsts(from, to int) float64 {
	return s[min(max(to, 0), repeatHistory)].first - s[min(max(from, 0), repeatHistory)].first
}

// allowed returns the repeats that a window may hold which begins within a slot.
// Only the slots that lie wholly in a window count for its first requests; those
// after the newest one are empty.
func (r *Repeats) allowed(sums *repeatSums, slot int) float64 {
	const half = repeatSlots / 2
	first := max(
		sums.firsts(slot+1, slot+repeatSlots),
		sums.firsts(slot+1-repeatSlots, slot),
		sums.firsts(slot+1-half, slot+half),
	)
	return r.share*first + r.spare
}

// fits reports whether one more repeat stays within the bound of every window
// that holds it, whatever comes later.
func (r *Repeats) fits(sums *repeatSums) bool {
	for slot := oldestSlot; slot < repeatHistory; slot++ {
		again := sums[repeatHistory].again - sums[slot].again
		if again+1 > r.allowed(sums, slot) {
			return false
		}
	}
	return true
}

// paced reports whether the pace allows a repeat now.
func (r *Repeats) paced(now clock.Millis, sums *repeatSums) bool {
	allowed := r.allowed(sums, oldestSlot)
	burst := max(1, repeatBurst*allowed)
	if r.ready < 0 {
		r.ready = burst
	} else {
		rate := (1 - repeatBurst) * allowed / float64(r.window)
		r.ready = min(burst, r.ready+rate*float64(max(0, now-r.readyAt)))
	}
	r.readyAt = now
	return r.ready >= 1
}

// slot returns the newest slot, clearing those that time has passed over.
func (r *Repeats) slot(now clock.Millis) *repeatSlot {
	number := int64(now / (r.window / repeatSlots))
	size := int64(len(r.slots))
	for n := max(r.last+1, number-size+1); n <= number; n++ {
		r.slots[n%size] = repeatSlot{}
	}
	r.last = max(r.last, number)
	return &r.slots[r.last%size]
}
