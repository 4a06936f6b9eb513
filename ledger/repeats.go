package ledger

import (
	"sync"

	"cuminhollow.example/clock"
)

const (
	// slotsPerWindow is the number of slots of a window. Each slot has its own
	// counts.
	slotsPerWindow = 20
	// historySlots is the number of slots that are kept: two windows and the slot
	// that lies partly before them. The window that ends now begins within slot
	// oldestWindowSlot.
	historySlots     = 2*slotsPerWindow + 1
	oldestWindowSlot = historySlots - 1 - slotsPerWindow
	// burstShare is the share of a window's retries that may be taken at once. The
	// rest is spread over the window.
	burstShare = 0.3
)

// RetryLimiter limits the rate of retries that reach one upstream. In any
// window it allows a share of the first requests and a base number. The first
// requests are counted in that window, in the window before it and in the
// window that begins half a window earlier; the highest count applies. It is
// safe for concurrent use. Create it with NewRetryLimiter.
type RetryLimiter struct {
	mu     sync.Mutex
	share  float64
	base   float64
	window clock.Millis
	// slots is a ring buffer. Slots are numbered from time 0; newest is the number
	// of the latest one.
	slots  [historySlots]slotCounts
	newest int64
	// tokens is the level of a token bucket at the time tokensAt; negative before
	// the first use. The bucket spreads the retries over the window.
	tokens   float64
	tokensAt clock.Millis
}

// slotCounts holds the numbers of first requests and retries.
type slotCounts struct {
	first, retries float64
}

// NewRetryLimiter returns a limiter that allows, in each window, share times
// the number of first requests and base more.
func NewRetryLimiter(share, base float64, window clock.Millis) *RetryLimiter {
	return &RetryLimiter{share: share, base: base, window: max(window, slotsPerWindow), tokens: -1}
}

// SetBase sets the number of retries that are allowed in addition to the share.
func (r *RetryLimiter) SetBase(base float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.base = base
}

// RecordFirst counts a request that reaches the upstream for the first time.
func (r *RetryLimiter) RecordFirst(now clock.Millis) { r.RecordNested(now, 0) }

// RecordNested counts a nested call that reaches the upstream for the first time.
// RepeatShare, from 0 to 1, is the share of retries among the runs that may have made
// it: the calls of a run that is a retry count as retries. They are not limited, as
// the work of the run would be lost, but leave fewer retries to AllowRetry.
func (r *RetryLimiter) RecordNested(now clock.Millis, repeatShare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.currentSlot(now)
	s.first += 1 - repeatShare
	s.retries += repeatShare
	if r.tokens > 0 {
		r.tokens = max(0, r.tokens-repeatShare)
	}
}

// AllowRetry reports whether a retry is allowed now and, if so, counts it.
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

// Available returns the number of retries that may be taken at once at the time
// now.
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

// prefixSums holds, for each slot from the oldest on, the sums of the counts of
// all slots before it.
type prefixSums [historySlots + 1]slotCounts

// sums returns the prefix sums of the slots.
func (r *RetryLimiter) sums() *prefixSums {
	var out prefixSums
	size := int64(len(r.slots))
	for i := range size {
		s := r.slots[(r.newest+1+i)%size]
		out[i+1] = slotCounts{first: out[i].first + s.first, retries: out[i].retries + s.retries}
	}
	return &out
}

// firstBetween returns the number of first requests in the slots from and
// later, before to.
func (s *prefixSums) firstBetween(from, to int) float64 {
	return s[min(max(to, 0), historySlots)].first - s[min(max(from, 0), historySlots)].first
}

// allowance returns the number of retries that are allowed in a window that
// begins within the given slot. Only slots that lie wholly in the window count for its
// first requests; slots after the newest one count as empty.
func (r *RetryLimiter) allowance(sums *prefixSums, slot int) float64 {
	const half = slotsPerWindow / 2
	first := max(
		sums.firstBetween(slot+1, slot+slotsPerWindow),
		sums.firstBetween(slot+1-slotsPerWindow, slot),
		sums.firstBetween(slot+1-half, slot+half),
	)
	return r.share*first + r.base
}

// fitsWindows reports whether one more retry stays within the allowance of
// every window that contains it, whatever requests follow.
func (r *RetryLimiter) fitsWindows(sums *prefixSums) bool {
	for slot := oldestWindowSlot; slot < historySlots; slot++ {
		retries := sums[historySlots].retries - sums[slot].retries
		if retries+1 > r.allowance(sums, slot) {
			return false
		}
	}
	return true
}

// hasToken adds the tokens for the time since the last call and reports whether
// there is one for a retry now.
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

// currentSlot returns the slot of the time now and clears the slots that were
// skipped since the last call.
func (r *RetryLimiter) currentSlot(now clock.Millis) *slotCounts {
	number := int64(now / (r.window / slotsPerWindow))
	size := int64(len(r.slots))
	for n := max(r.newest+1, number-size+1); n <= number; n++ {
		r.slots[n%size] = slotCounts{}
	}
	r.newest = max(r.newest, number)
	return &r.slots[r.newest%size]
}
