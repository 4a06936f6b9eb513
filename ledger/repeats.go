package ledger

import (
	"sync"

	"cuminhollow.example/clock"
)

// repeatSlots is the number of parts of a window that are counted apart.
const repeatSlots = 20

// Repeats bounds the requests that reach one upstream again to a share of the
// first ones, over a sliding window. It is safe for concurrent use. Create it
// with NewRepeats.
type Repeats struct {
	mu     sync.Mutex
	share  float64
	spare  float64
	window clock.Millis
	// slots is a ring over a window and the slot before it; last is the number of
	// its newest slot.
	slots [repeatSlots + 1]repeatSlot
	last  int64
}

type repeatSlot struct {
	first, again float64
}

// NewRepeats allows repeats up to a share of the first requests of a window,
// and spare more.
func NewRepeats(share, spare float64, window clock.Millis) *Repeats {
	return &Repeats{share: share, spare: spare, window: max(window, repeatSlots)}
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

// Take asks for one repeat and reports whether it is allowed. The slot that lies
// partly before the window counts for the repeats only.
func (r *Repeats) Take(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.slot(now)
	oldest := (r.last + 1) % int64(len(r.slots))
	first, again := 0.0, 0.0
	for i := range r.slots {
		again += r.slots[i].again
		if int64(i) != oldest {
			first += r.slots[i].first
		}
	}
	if again+1 > r.share*first+r.spare {
		return false
	}
	s.again++
	return true
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
