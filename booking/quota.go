package booking

import "cuminhollow.example/clock"

// Parameters of a quota.
const (
	// quotaMin is the lowest limit.
	quotaMin = 1
	// quotaIncrease is what each run that succeeds during overload adds to a limit
	// that was reached.
	quotaIncrease = 0.4
	// minAdjustInterval and maxAdjustInterval bound the span after which a limit is
	// lowered again, in milliseconds; within these bounds it is the mean duration
	// of a run.
	minAdjustInterval clock.Millis = 100
	maxAdjustInterval clock.Millis = 500
	// lowOverload is the downstream overload below which the downstream services
	// have capacity left.
	lowOverload = 0.1
	// A kind is affected by downstream overload if its runs take more than
	// slowRunRatio times as long as without overload, or if more than the share
	// highFailedShare of them fails.
	slowRunRatio    = 1.3
	highFailedShare = 0.15
	// maxFailedNonIdempotent is the share of failed runs above which non-idempotent
	// work is limited.
	maxFailedNonIdempotent = 0.5
	// Weights of one run in the moving averages of the recent run time, of the
	// share of failed runs and of the run time without overload.
	recentRunTimeWeight   = 0.1
	failedShareWeight     = 0.2
	baselineRunTimeWeight = 0.02
	// Without overload, a limit above quotaPeakFactor times the most runs in flight
	// within quotaPeakWindow, in milliseconds, is lowered to it, but not below
	// quotaMinWithoutOverload.
	quotaMinWithoutOverload              = 8
	quotaPeakFactor                      = 2
	quotaPeakWindow         clock.Millis = clock.Second
)

// quota limits the runs in flight of one kind of work whose nested calls are
// rejected because a downstream service is overloaded: more runs would only make
// more of them fail. Calls above the limit wait in the queue. The zero value has
// no limit.
type quota struct {
	// limit is at least quotaMin; 0 for none.
	limit float64
	// overloadedAt is the last time at which downstream overload affected the kind.
	overloadedAt clock.Millis
	// peak is the most runs in flight in the window that ends at peakWindowEnd.
	peak          int
	peakWindowEnd clock.Millis
	// limitReachedUntil is the time until which the limit counts as too low: one
	// run time, but at least minAdjustInterval, after a call found it reached.
	limitReachedUntil clock.Millis
	// loweredAt is when the limit was last lowered.
	loweredAt clock.Millis
	// recentRunTime is the recent mean duration of a run, and baselineRunTime that
	// without overload, in milliseconds; 0 when unknown.
	recentRunTime, baselineRunTime float64
	// failedShare is the share of recent runs that failed, from 0 to 1.
	failedShare float64
}

// atLimit reports whether no further run may start beside those in flight.
func (q *quota) atLimit(inFlight int) bool {
	return q.limit > 0 && inFlight >= int(q.limit)
}

// noteLimitReached records that a call found the limit reached.
func (q *quota) noteLimitReached(now clock.Millis) {
	q.limitReachedUntil = now + max(clock.Millis(q.recentRunTime), minAdjustInterval) + 1
}

// runEnded adjusts the limit at the end of a run. span is the duration of the
// run in milliseconds, inFlight counts it too, and overload is the downstream
// overload from 0 to 1. It returns how long the place of the run stays reserved,
// in milliseconds: runs that fail early must not let more runs start than runs
// that succeed.
func (q *quota) runEnded(now clock.Millis, span float64, failed bool, inFlight int, overload float64) clock.Millis {
	q.observe(span, failed, overload)
	switch {
	case overload >= lowOverload && q.affected():
		q.overloadedAt = now
		q.lower(now, inFlight, overload)
	default:
		q.trackPeak(now, inFlight)
	}
	if !failed && now < q.limitReachedUntil {
		q.grow(overload)
	}
	if failed && q.limit > 0 && q.affected() {
		return clock.Millis(max(0, q.baselineRunTime-span))
	}
	return 0
}

// trackPeak keeps the limit near the peak of the runs in flight, so that a limit
// is in place when overload begins.
func (q *quota) trackPeak(now clock.Millis, inFlight int) {
	q.peak = max(q.peak, inFlight)
	if now < q.peakWindowEnd {
		return
	}
	q.peakWindowEnd = now + quotaPeakWindow
	if bound := max(quotaMinWithoutOverload, quotaPeakFactor*float64(q.peak)); q.limit == 0 || q.limit > bound {
		q.limit = bound
	}
	q.peak = 0
}

// observe updates the estimates at the end of a run.
func (q *quota) observe(span float64, failed bool, overload float64) {
	failure := 0.0
	if failed {
		failure = 1
	}
	q.failedShare += failedShareWeight * (failure - q.failedShare)
	if failed && span < q.baselineRunTime {
		return
	}
	updateMean(&q.recentRunTime, span, recentRunTimeWeight)
	if overload < lowOverload {
		updateMean(&q.baselineRunTime, span, baselineRunTimeWeight)
	}
}

// updateMean moves a moving average towards a sample; the first sample sets it.
func updateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += weight * (sample - *mean)
}

// affected reports whether runs of the kind fail often or are slow.
func (q *quota) affected() bool {
	return q.failedShare > highFailedShare || q.baselineRunTime > 0 && q.recentRunTime > slowRunRatio*q.baselineRunTime
}

// grow raises a limit that calls found reached, after a run that succeeded.
// Without overload the limit doubles with each round of runs.
func (q *quota) grow(overload float64) {
	if overload < lowOverload {
		q.limit++
		return
	}
	q.limit += quotaIncrease
}

// lower reduces the limit in proportion to the overload, once per run time.
func (q *quota) lower(now clock.Millis, inFlight int, overload float64) {
	if now-q.loweredAt < min(max(clock.Millis(q.recentRunTime), minAdjustInterval), maxAdjustInterval) {
		return
	}
	if q.limit == 0 {
		q.limit = float64(inFlight)
	}
	q.loweredAt = now
	q.limit = max(quotaMin, q.limit*(1-overload/2))
}
