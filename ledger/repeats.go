package ledger

import (
	"sync"

	"cuminhollow.example/clock"
)

const (
	// repeatSlots is the number of parts of a window that are counted apart.
	slotsPerWindow = 20
	// repeatHistory is the number of parts that are kept: two windows and the part
	// that lies partly before them. The window that ends now begins within
	// oldestSlot of them.
	historySlots     = 2*slotsPerWindow + 1
	oldestWindowSlot = historySlots - 1 - slotsPerWindow
	// repeatBurst is the part of a window's repeats that may be taken at once; the
	// rest is spread over the window.
	burstShare = 0.3
)

// Repeats bounds the requests that reach one upstream again: in any window to a
// share of the first ones, counted in that window, the one before it or the one
// half a window before it, whichever has most, and a number beyond. It is safe
// for concurrent use. Create it with NewRepeats.
type RetryLimiter struct {
	mu     sync.Mutex
	share  float64
	base   float64
	window clock.Millis
	// slots is a ring; last is the number of its newest slot.
	slots  [historySlots]slotCounts
	newest int64
	// ready is the number of repeats that the pace allows at present, as of
	// readyAt; negative before the first.
	tokens   float64
	tokensAt clock.Millis
}

type slotCounts struct {
	first, retries float64
}

// NewRepeats allows repeats up to a share of the first requests of a window,
// and spare more.
func NewRetryLimiter(share, spare float64, window clock.Millis) *RetryLimiter {
	return &RetryLimiter{share: share, base: spare, window: max(window, slotsPerWindow), tokens: -1}
}

// SetSpare sets how many repeats are allowed beyond the share.
func (r *RetryLimiter) SetBase(spare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.base = spare
}

// First notes a request that reaches the upstream for the first time.
func (r *RetryLimiter) RecordFirst(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentSlot(now).first++
}

// Take asks for one repeat and reports whether it is allowed.
func (r *RetryLimiter) AllowRetry(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.currentSlot(now)
	sums := r.sums()
	if !r.hasToken(now, sums) || !r.fitsWindows(sums) {
		return false
	}
	r.tokens--
	s.retries++
	return true
}

// Left returns how many repeats may be taken at once at a time.
func (r *RetryLimiter) Available(now clock.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentSlot(now)
	sums := r.sums()
	r.hasToken(now, sums)
	left := r.tokens
	for slot := oldestWindowSlot; slot < historySlots; slot++ {
		left = min(left, r.allowance(sums, slot)-(sums[historySlots].retries-sums[slot].retries))
	}
	return int(max(0, left))
}

// repeatSums holds, for each slot, the oldest first, the counts of all slots
// before it.
type prefixSums [historySlots + 1]slotCounts

func (r *RetryLimiter) sums() *prefixSums {
	var out prefixSums
	size := int64(len(r.slots))
	for i := range size {
		s := r.slots[(r.newest+1+i)%size]
		out[i+1] = slotCounts{first: out[i].first + s.first, retries: out[i].retries + s.retries}
	}
	return &out
}

// firsts counts the first requests of the slots from one on and before another.
func (s *prefixSums) firstBetween(from, to int) float64 {
	return s[min(max(to, 0), historySlots)].first - s[min(max(from, 0), historySlots)].first
}

// allowed returns the repeats that a window may hold which begins within a slot.
// Only the slots that lie wholly in a window count for its first requests; those
// after the newest one are empty.
func (r *RetryLimiter) allowance(sums *prefixSums, slot int) float64 {
	const half = slotsPerWindow / 2
	first := max(
		sums.firstBetween(slot+1, slot+slotsPerWindow),
		sums.firstBetween(slot+1-slotsPerWindow, slot),
		sums.firstBetween(slot+1-half, slot+half),
	)
	return r.share*first + r.base
}

// fits reports whether one more repeat stays within the bound of every window
// that holds it, whatever comes later.
func (r *RetryLimiter) fitsWindows(sums *prefixSums) bool {
	for slot := oldestWindowSlot; slot < historySlots; slot++ {
		again := sums[historySlots].retries - sums[slot].retries
		if again+1 > r.allowance(sums, slot) {
			return false
		}
	}
	return true
}

// paced reports whether the pace allows a repeat now.
func (r *RetryLimiter) hasToken(now clock.Millis, sums *prefixSums) bool {
	allowed := r.allowance(sums, oldestWindowSlot)
	burst := max(1, burstShare*allowed)
	if r.tokens < 0 {
		r.tokens = burst
	} else {
		rate := (1 - burstShare) * allowed / float64(r.window)
		r.tokens = min(burst, r.tokens+rate*float64(max(0, now-r.tokensAt)))
	}
	r.tokensAt = now
	return r.tokens >= 1
}

// slot returns the newest slot, clearing those that time has passed over.
func (r *RetryLimiter) currentSlot(now clock.Millis) *slotCounts {
	number := int64(now / (r.window / slotsPerWindow))
	size := int64(len(r.slots))
	for n := max(r.newest+1, number-size+1); n <= number; n++ {
		r.slots[n%size] = slotCounts{}
	}
	r.newest = max(r.newest, number)
	return &r.slots[r.newest%size]
}
