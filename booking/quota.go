package booking

import "cuminhollow.example/clock"

// Parameters of a quota.
const (
	// quotaMin is the least limit.
	quotaMin = 1
	// quotaGrowth is what each run that ends well adds to a limit in use.
	quotaIncrease = 0.4
	// epochMin and epochMax bound the span after which a limit is lowered again,
	// in milliseconds; between them it is the mean duration of a run.
	minAdjustInterval clock.Millis = 100
	maxAdjustInterval clock.Millis = 500
	// strainLow is the strain below which services further down have room.
	lowOverload = 0.1
	// slower and faulty tell that strain concerns a kind: its runs take that many
	// times as long as without strain, or that share of them fails.
	slowRunRatio    = 1.3
	highFailedShare = 0.15
	// mostFail is the share of failures above which work that is not idempotent is
	// held back.
	maxFailedNonIdempotent = 0.5
	// recentWeight is the weight of a run in the recent duration, failedWeight that
	// in the share of failures, and usualWeight that in the duration without
	// strain.
	recentRunTimeWeight   = 0.1
	failedShareWeight     = 0.2
	baselineRunTimeWeight = 0.02
	// quotaStart is the least limit without strain.
	quotaMinWithoutOverload = 8
	// quotaRoom is the limit without strain in units of the most runs in flight of
	// a quotaSpan, in milliseconds.
	quotaPeakFactor              = 2
	quotaPeakWindow clock.Millis = clock.Second
)

// quota limits the runs in flight of one kind of work whose onward calls find
// services further down full: more runs would only make more of them fail. What
// does not fit waits at the desk. The zero value has no limit.
type quota struct {
	// limit is at least quotaMin; 0 for none.
	limit float64
	// strainedAt is the time of the last strain.
	overloadedAt clock.Millis
	// peak is the most runs in flight since quotaSpan before peakEnds.
	peak          int
	peakWindowEnd clock.Millis
	// wantedUntil is until when the limit counts as too low: a call found it full a
	// run's duration before.
	limitReachedUntil clock.Millis
	// loweredAt is the time at which the limit was lowered last.
	loweredAt clock.Millis
	// recent and usual are durations in milliseconds, the latter without strain;
	// 0 when unknown.
	recentRunTime, baselineRunTime float64
	// failed is the share of recent runs that failed, from 0 to 1.
	failedShare float64
}

// full reports whether no further run may start beside those in flight.
func (q *quota) atLimit(inFlight int) bool {
	return q.limit > 0 && inFlight >= int(q.limit)
}

// wanted notes that a call found no room.
func (q *quota) noteLimitReached(now clock.Millis) {
	q.limitReachedUntil = now + max(clock.Millis(q.recentRunTime), minAdjustInterval) + 1
}

// done learns from the end of a run, with the runs that were in flight and the
// strain on services further down. It returns how long the run's place stays
// taken: a run that fails early must not make room for more than one that does
// not.
func (q *quota) runEnded(now clock.Millis, span float64, failed bool, inFlight int, strain float64) clock.Millis {
	q.observe(span, failed, strain)
	switch {
	case strain >= lowOverload && q.affected():
		q.overloadedAt = now
		q.lower(now, inFlight, strain)
	default:
		q.trackPeak(now, inFlight)
	}
	if !failed && now < q.limitReachedUntil {
		q.grow(strain)
	}
	if failed && q.limit > 0 && q.affected() {
		return clock.Millis(max(0, q.baselineRunTime-span))
	}
	return 0
}

// follow keeps the limit near what is in use, so that there is one when strain
// begins.
func (q *quota) trackPeak(now clock.Millis, inFlight int) {
	q.peak = max(q.peak, inFlight)
	if now < q.peakWindowEnd {
		return
	}
	q.peakWindowEnd = now + quotaPeakWindow
	if room := max(quotaMinWithoutOverload, quotaPeakFactor*float64(q.peak)); q.limit == 0 || q.limit > room {
		q.limit = room
	}
	q.peak = 0
}

// learn takes the end of a run into the estimates.
func (q *quota) observe(span float64, failed bool, strain float64) {
	fault := 0.0
	if failed {
		fault = 1
	}
	q.failedShare += failedShareWeight * (fault - q.failedShare)
	if failed && span < q.baselineRunTime {
		return
	}
	updateMean(&q.recentRunTime, span, recentRunTimeWeight)
	if strain < lowOverload {
		updateMean(&q.baselineRunTime, span, baselineRunTimeWeight)
	}
}

// blend moves a mean towards a sample; the first sample is the mean.
func updateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += weight * (sample - *mean)
}

// concerned reports whether runs of the kind suffer.
func (q *quota) affected() bool {
	return q.failedShare > highFailedShare || q.baselineRunTime > 0 && q.recentRunTime > slowRunRatio*q.baselineRunTime
}

// grow raises a limit in use: without strain it doubles with each round of runs.
func (q *quota) grow(strain float64) {
	if strain < lowOverload {
		q.limit++
		return
	}
	q.limit += quotaIncrease
}

// lower takes the limit down by the strain, once in the duration of a run.
func (q *quota) lower(now clock.Millis, inFlight int, strain float64) {
	if now-q.loweredAt < min(max(clock.Millis(q.recentRunTime), minAdjustInterval), maxAdjustInterval) {
		return
	}
	if q.limit == 0 {
		q.limit = float64(inFlight)
	}
	q.loweredAt = now
	q.limit = max(quotaMin, q.limit*(1-strain/2))
}
