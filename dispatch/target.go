package dispatch

import (
	"math"
	"sync"
	"sync/atomic"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

const (
	// ejectAfter is the number of consecutive failures that ejects a VM: calls are
	// not sent to it for a time.
	ejectAfter = 3
	// minEjection is the first ejection time, doubled for each further failure
	// up to maxEjection, in milliseconds.
	minEjection clock.Millis = 200
	maxEjection clock.Millis = 5 * clock.Second
	// maxLevelAge is how long a reported level is used, in milliseconds.
	maxLevelAge clock.Millis = 300
	// probeInterval is the time between two calls that are sent to a VM although
	// its level rejects them, in milliseconds.
	probeInterval clock.Millis = 50
	// maxLeavingAge is how long a VM counts as leaving after it said so, in
	// milliseconds. If it is still leaving then, it rejects the next call, which
	// renews the notice.
	maxLeavingAge clock.Millis = 2 * clock.Second
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.2
	// faultyErrorRate is the error rate above which a VM is skipped.
	faultyErrorRate = 0.5
	// errorDecay is the time constant of the decay of an error rate, in
	// milliseconds: after it 1/e of the rate is left.
	errorDecay clock.Millis = 3 * clock.Second
	// errorPenalty is the cost of an error, as a multiple of the call's target
	// time.
	errorPenalty = 2
)

// Target holds what a node knows about one VM from its own traffic and from the
// reports of the VM. It is kept when a roster changes. It is safe for
// concurrent use.
type Target struct {
	name     string
	inFlight atomic.Int64
	// meanLatency holds the bits of the mean duration of a call, in milliseconds.
	meanLatency atomic.Uint64
	// errorRate holds the bits of the share of answers that report an error,
	// from 0 to 1.
	errorRate atomic.Uint64
	// errorRateAt is when errorRate was last changed.
	errorRateAt         atomic.Int64
	consecutiveFailures atomic.Int64
	ejectedUntil        atomic.Int64
	// level is the first class that the VM rejected. Until levelUntil, calls of
	// less urgent classes are not sent to it.
	level      atomic.Uint32
	levelUntil atomic.Int64
	nextProbe  atomic.Int64
	// leavingUntil is in the future while the VM counts as leaving.
	leavingUntil atomic.Int64
	// estimate is the last report of the VM, for any kind of work.
	estimate atomic.Pointer[loadEstimate]
	// kindEstimates holds a *kindEstimate by the name of the kind of work.
	kindEstimates sync.Map
}

// NewTarget returns the state of a VM with no history.
func NewTarget(name string) *Target {
	t := &Target{name: name}
	t.level.Store(booking.NumClasses)
	return t
}

// Name returns the name of the VM.
func (t *Target) Name() string { return t.name }

// InFlight returns the number of calls that have begun and not ended.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Begin records a call that is about to be sent.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End records an answer after a duration in milliseconds. Only the duration of
// a success updates the mean: a VM that fails fast must not attract calls.
func (t *Target) End(now clock.Millis, duration float64, isError bool) {
	t.inFlight.Add(-1)
	t.consecutiveFailures.Store(0)
	sample := 0.0
	if isError {
		sample = 1
	} else {
		updateMean(&t.meanLatency, duration)
	}
	rate := t.currentErrorRate(now)
	t.errorRate.Store(math.Float64bits(rate + sampleWeight*(sample-rate)))
	t.errorRateAt.Store(int64(now))
	if !isError && t.faulty(now) {
		// One success ends the exclusion; the next error restores it.
		t.errorRate.Store(math.Float64bits(faultyErrorRate))
	}
}

// faulty reports whether the VM mostly returns errors.
func (t *Target) faulty(now clock.Millis) bool {
	return t.currentErrorRate(now) > faultyErrorRate
}

// EndFailed records a call that ended without an answer. The mean duration does
// not change.
func (t *Target) EndFailed(now clock.Millis) {
	t.inFlight.Add(-1)
	t.recordFailure(now)
}

// updateMean adds a sample to a moving average. A concurrent update may
// overwrite this one, which does no harm.
func updateMean(mean *atomic.Uint64, sample float64) {
	old := math.Float64frombits(mean.Load())
	mean.Store(math.Float64bits(old + sampleWeight*(sample-old)))
}

// EndRejected records a call that the node of the VM rejected.
func (t *Target) EndRejected() {
	t.inFlight.Add(-1)
	t.consecutiveFailures.Store(0)
}

// EndCancelled records a call that the caller cancelled.
func (t *Target) EndCancelled() { t.inFlight.Add(-1) }

// recordFailure ejects the VM after ejectAfter consecutive failures. When the
// ejection ends, one call at a time is sent to it.
func (t *Target) recordFailure(now clock.Millis) {
	n := t.consecutiveFailures.Add(1)
	if n < ejectAfter {
		return
	}
	span := min(minEjection<<min(n-ejectAfter, 8), maxEjection)
	t.ejectedUntil.Store(int64(now + span))
}

// SetLevel stores the first class that the VM rejected recently. Calls of less
// urgent classes are not sent to it for maxLevelAge.
func (t *Target) SetLevel(now clock.Millis, level booking.Class) {
	t.level.Store(uint32(level))
	t.levelUntil.Store(int64(now + maxLevelAge))
}

// SetLeaving records that the VM announced that it is leaving. New calls are
// not sent to it for maxLeavingAge.
func (t *Target) SetLeaving(now clock.Millis) {
	t.leavingUntil.Store(int64(now + maxLeavingAge))
}

// Reset clears the leaving, failure, error and rejection state of the VM, for
// use when a new process answers.
func (t *Target) Reset() {
	t.leavingUntil.Store(0)
	t.ejectedUntil.Store(0)
	t.consecutiveFailures.Store(0)
	t.errorRate.Store(0)
	t.level.Store(booking.NumClasses)
}

// Leaving reports whether the VM announced recently that it is leaving.
func (t *Target) Leaving(now clock.Millis) bool {
	return int64(now) < t.leavingUntil.Load()
}

// Ejected reports whether the VM gets no calls because of its failures. When
// the ejection time is over, one call at a time is let through until one
// succeeds.
func (t *Target) Ejected(now clock.Millis) bool {
	if t.consecutiveFailures.Load() < ejectAfter {
		return false
	}
	return int64(now) < t.ejectedUntil.Load() || t.inFlight.Load() > 0
}

// rejects reports whether the VM is expected to reject calls of a class.
func (t *Target) rejects(now clock.Millis, class booking.Class) bool {
	return uint32(class) > t.level.Load() && int64(now) < t.levelUntil.Load()
}

// allowProbe reports whether a call may be sent to a VM that rejects its class,
// at most once in each probeInterval.
func (t *Target) allowProbe(now clock.Millis) bool {
	next := t.nextProbe.Load()
	return int64(now) >= next && t.nextProbe.CompareAndSwap(next, int64(now+probeInterval))
}

// currentErrorRate returns the share of answers that report an error, from 0 to
// 1. It decays while the VM gets no calls, so that the VM is used again.
func (t *Target) currentErrorRate(now clock.Millis) float64 {
	rate := math.Float64frombits(t.errorRate.Load())
	if rate == 0 {
		return 0
	}
	return rate * math.Exp(-float64(int64(now)-t.errorRateAt.Load())/float64(errorDecay))
}

// meanLatencyOr returns the mean duration of a call, or fallback if no call has
// ended yet, in milliseconds.
func (t *Target) meanLatencyOr(fallback float64) float64 {
	if latency := math.Float64frombits(t.meanLatency.Load()); latency > 0 {
		return latency
	}
	return fallback
}
