package booking

import "cuminhollow.example/clock"

const (
	// overloadThreshold is the wait of a call, in mean run times, above which the
	// upstream counts as overloaded. It also does when the calls that wait for a
	// slot exceed this share of the limit.
	overloadThreshold = 0.5
	// overloadedAfterShed is how long the upstream counts as overloaded after a
	// call was shed, in milliseconds.
	overloadedAfterShed clock.Millis = 30
)

// overloaded reports whether the upstream has too few slots for its load when c
// starts: c waited too long, too many others wait, or a call was shed lately.
func (ct *Controller) overloaded(now clock.Millis, c *Call) bool {
	return float64(now-c.arrived) > overloadThreshold*ct.load.allKinds.mean ||
		float64(ct.waitingForSlot()) > overloadThreshold*float64(ct.limiter.current()) ||
		now < ct.overloadedUntil
}

// waitingForSlot counts the waiting calls that lack only a slot.
func (ct *Controller) waitingForSlot() int {
	n := 0
	for i := range ct.queues {
		for _, k := range ct.queues[i].kinds {
			if ct.quotaAllows(k.peek()) {
				n += k.size
			}
		}
	}
	return n
}

// overloadFor returns the downstream overload by which the quota of c's kind is
// adjusted, from 0 to 1. For non-idempotent work it is at least the share of
// failed runs while most runs fail, because the outcome of a failed run may stay
// unknown.
func (ct *Controller) overloadFor(now clock.Millis, c *Call, k *kindLoad) float64 {
	overload := ct.downstreamOverload.current(now)
	if c.nonIdempotent && k.failedShare > maxFailedNonIdempotent {
		return max(overload, k.failedShare)
	}
	return overload
}

// ObserveDownstreamOverload updates the estimate of downstream overload. The
// share, from 0 to 1, comes from the answer to a nested call of the upstream: it
// is the share of such calls that find a downstream service overloaded.
func (ct *Controller) ObserveDownstreamOverload(now clock.Millis, share float64) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.downstreamOverload.observe(now, share)
}

// Overload returns the overload that the answer to c, once decided, reports: the
// share of such calls that find this upstream or a downstream service
// overloaded, from 0 to 1.
func (ct *Controller) Overload(now clock.Millis, c *Call) float64 {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if c.overloaded {
		return 1
	}
	return ct.downstreamOverload.current(now)
}
