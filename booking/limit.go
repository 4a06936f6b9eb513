package booking

import "cuminhollow.example/clock"

// LimitPolicy selects how the concurrency limit changes: FixedLimit or
// AdaptiveLimit.
type LimitPolicy interface {
	isLimitPolicy()
}

// FixedLimit keeps the limit at the number of slots of the upstream.
type FixedLimit struct{}

// AdaptiveLimit starts low, grows while the upstream answers in time and drops
// at once when the upstream refuses calls, fails or is late.
type AdaptiveLimit struct{}

func (FixedLimit) isLimitPolicy()    {}
func (AdaptiveLimit) isLimitPolicy() {}

// Parameters of AdaptiveLimit.
const (
	// limitWindow is the span over which results are counted before the limit is
	// adjusted, in milliseconds.
	limitWindow clock.Millis = 100
	// slowStartDivisor divides the number of slots to give the initial limit.
	slowStartDivisor = 4
	// slowStartGrowth is the factor by which the limit grows in each window in
	// which it was reached, until the first window with too many faults.
	slowStartGrowth = 2
	// limitGrowth is the factor afterwards.
	limitGrowth = 1.25
	// limitDecrease is the factor applied after a window with too many faults.
	limitDecrease = 0.7
	// maxFaultShare is the share of faults in a window above which the limit is
	// lowered.
	maxFaultShare = 0.1
)

// limiter holds the concurrency limit of one upstream.
type limiter struct {
	policy LimitPolicy
	// slots is at least 1.
	slots int
	// limit is from 1 to slots.
	limit float64
	// windowEnd is when the current window ends.
	windowEnd         clock.Millis
	successes, faults int
	// limitReached is set if a call found the limit reached in the window.
	limitReached bool
	// slowStartDone is set by the first window with too many faults.
	slowStartDone bool
}

func newLimiter(policy LimitPolicy, slots int) limiter {
	slots = max(slots, 1)
	l := limiter{policy: policy, slots: slots, limit: float64(slots)}
	if _, adaptive := policy.(AdaptiveLimit); adaptive {
		l.limit = max(1, float64(slots)/slowStartDivisor)
	}
	return l
}

// current returns the limit as a whole number, from 1 to slots.
func (l *limiter) current() int {
	return int(l.limit)
}

// noteLimitReached records that a call found the limit reached.
func (l *limiter) noteLimitReached() { l.limitReached = true }

// runEnded counts the result of a run. At the end of a window it adjusts the
// limit and starts a new window.
func (l *limiter) runEnded(now clock.Millis, r Result) {
	switch r {
	case ResultOK, ResultError:
		l.successes++
	case ResultOverload, ResultFailed:
		l.faults++
	case ResultCancelled:
	}
	if now < l.windowEnd {
		return
	}
	if _, adaptive := l.policy.(AdaptiveLimit); adaptive {
		l.adjust()
	}
	l.windowEnd = now + limitWindow
	l.successes, l.faults, l.limitReached = 0, 0, false
}

// adjust raises or lowers the limit by the results of the window.
func (l *limiter) adjust() {
	total := l.successes + l.faults
	switch {
	case total == 0:
		return
	case float64(l.faults) > maxFaultShare*float64(total):
		l.slowStartDone = true
		l.limit = max(1, l.limit*limitDecrease)
	case l.limitReached:
		l.limit = min(float64(l.slots), max(l.limit+1, l.limit*l.growthFactor()))
	}
}

func (l *limiter) growthFactor() float64 {
	if l.slowStartDone {
		return limitGrowth
	}
	return slowStartGrowth
}
