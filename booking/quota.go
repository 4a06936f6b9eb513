package booking

import "cuminhollow.example/clock"

// Parameters of a quota.
const (
	// quotaMin is the least limit.
	quotaMin = 1
	// quotaGrowth is what each run that ends well adds to a limit in use.
	quotaGrowth = 0.4
	// epochMin and epochMax bound the span after which a limit is lowered again,
	// in milliseconds; between them it is the mean duration of a run.
	epochMin clock.Millis = 100
	epochMax clock.Millis = 500
	// strainLow is the strain below which services further down have room.
	strainLow = 0.1
	// slower and faulty tell that strain concerns a kind: its runs take that many
	// times as long as without strain, or that share of them fails.
	slower = 1.3
	faulty = 0.15
	// mostFail is the share of failures above which work that is not idempotent is
	// held back.
	mostFail = 0.5
	// recentWeight is the weight of a run in the recent duration, failedWeight that
	// in the share of failures, and usualWeight that in the duration without
	// strain.
	recentWeight = 0.1
	failedWeight = 0.2
	usualWeight  = 0.02
	// quotaStart is the least limit without strain.
	quotaStart = 8
	// quotaRoom is the limit without strain in units of the most runs in flight of
	// a quotaSpan, in milliseconds.
	quotaRoom              = 2
	quotaSpan clock.Millis = clock.Second
)

// quota limits the runs in flight of one kind of work whose onward calls find
// services further down full: more runs would only make more of them fail. What
// does not fit waits at the desk. The zero value has no limit.
type quota struct {
	// limit is at least quotaMin; 0 for none.
	limit float64
	// strainedAt is the time of the last strain.
	strainedAt clock.Millis
	// peak is the most runs in flight since quotaSpan before peakEnds.
	peak     int
	peakEnds clock.Millis
	// wantedUntil is until when the limit counts as too low: a call found it full a
	// run's duration before.
	wantedUntil clock.Millis
	// loweredAt is the time at which the limit was lowered last.
	loweredAt clock.Millis
	// recent and usual are durations in milliseconds, the latter without strain;
	// 0 when unknown.
	recent, usual float64
	// failed is the share of recent runs that failed, from 0 to 1.
	failed float64
}

// full reports whether no further run may start beside those in flight.
func (q *quota) full(inFlight int) bool {
	return q.limit > 0 && inFlight >= int(q.limit)
}

// wanted notes that a call found no room.
func (q *quota) wanted(now clock.Millis) {
	q.wantedUntil = now + max(clock.Millis(q.recent), epochMin) + 1
}

// done learns from the end of a run, with the runs that were in flight and the
// strain on services further down. It returns how long the run's place stays
// taken: a run that fails early must not make room for more than one that does
// not.
func (q *quota) done(now clock.Millis, span float64, failed bool, inFlight int, strain float64) clock.Millis {
	q.learn(span, failed, strain)
	switch {
	case strain >= strainLow && q.concerned():
		q.strainedAt = now
		q.lower(now, inFlight, strain)
	default:
		q.follow(now, inFlight)
	}
	if !failed && now < q.wantedUntil {
		q.grow(strain)
	}
	if failed && q.limit > 0 && q.concerned() {
		return clock.Millis(max(0, q.usual-span))
	}
	return 0
}

// follow keeps the limit near what is in use, so that there is one when strain
// begins.
func (q *quota) follow(now clock.Millis, inFlight int) {
	q.peak = max(q.peak, inFlight)
	if now < q.peakEnds {
		return
	}
	q.peakEnds = now + quotaSpan
	if room := max(quotaStart, quotaRoom*float64(q.peak)); q.limit == 0 || q.limit > room {
		q.limit = room
	}
	q.peak = 0
}

// learn takes the end of a run into the estimates.
func (q *quota) learn(span float64, failed bool, strain float64) {
	fault := 0.0
	if failed {
		fault = 1
	}
	q.failed += failedWeight * (fault - q.failed)
	if failed && span < q.usual {
		return
	}
	blend(&q.recent, span, recentWeight)
	if strain < strainLow {
		blend(&q.usual, span, usualWeight)
	}
}

// blend moves a mean towards a sample; the first sample is the mean.
func blend(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += weight * (sample - *mean)
}

// concerned reports whether runs of the kind suffer.
func (q *quota) concerned() bool {
	return q.failed > faulty || q.usual > 0 && q.recent > slower*q.usual
}

// grow raises a limit in use: without strain it doubles with each round of runs.
func (q *quota) grow(strain float64) {
	if strain < strainLow {
		q.limit++
		return
	}
	q.limit += quotaGrowth
}

// lower takes the limit down by the strain, once in the duration of a run.
func (q *quota) lower(now clock.Millis, inFlight int, strain float64) {
	if now-q.loweredAt < min(max(clock.Millis(q.recent), epochMin), epochMax) {
		return
	}
	if q.limit == 0 {
		q.limit = float64(inFlight)
	}
	q.loweredAt = now
	q.limit = max(quotaMin, q.limit*(1-strain/2))
}
