package dispatch

import (
	"math"
	"sync"
	"sync/atomic"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// Parameters of a Target.
const (
	// ejectAfter is the number of failures in a row that ejects a VM.
	ejectAfter = 3
	// ejectBase is the first span of ejection, doubled for each further
	// failure up to ejectLimit, in milliseconds.
	minEjection clock.Millis = 200
	maxEjection clock.Millis = 5 * clock.Second
	// levelAge is how long a reported level is believed, in milliseconds.
	maxLevelAge clock.Millis = 300
	// levelProbe is how often a call passes a level that refuses it, in
	// milliseconds.
	probeInterval clock.Millis = 50
	// leavingAge is how long a VM's own notice of leaving is believed, in
	// milliseconds. A VM that is asked too early refuses and so renews it.
	maxLeavingAge clock.Millis = 2 * clock.Second
	// meanWeight is the weight of a new sample in a mean.
	sampleWeight = 0.2
	// faultyShare is the share of errors above which a VM is left out.
	faultyErrorRate = 0.5
	// errorAge is the span after which an error share counts by a third only, in
	// milliseconds.
	errorDecay clock.Millis = 3 * clock.Second
	// errorPenalty is the part of a call's target time that an error costs.
	errorPenalty = 2
)

// Target is what a node knows of one VM from its own traffic. It outlives
// changes of the rosters. It is safe for concurrent use.
type Target struct {
	name     string
	inFlight atomic.Int64
	// latency holds the bits of the mean duration of a call, in milliseconds.
	meanLatency atomic.Uint64
	// errors holds the bits of the share of answers that report an error, from
	// 0 to 1.
	errorRate atomic.Uint64
	// errorsAt is when errors was last changed.
	errorRateAt atomic.Int64
	// failures counts failures in a row.
	consecutiveFailures atomic.Int64
	ejectedUntil        atomic.Int64
	// level is the first class that the VM refuses, believed until levelUntil.
	level      atomic.Uint32
	levelUntil atomic.Int64
	nextProbe  atomic.Int64
	// leavingUntil is past the present while the VM is said to leave.
	leavingUntil atomic.Int64
	// outlook is what the VM last said of its upstream.
	estimate atomic.Pointer[loadEstimate]
	// kinds holds a *kindOutlook for each kind of work.
	kindEstimates sync.Map
}

// NewTarget returns a target with no history.
func NewTarget(name string) *Target {
	t := &Target{name: name}
	t.level.Store(booking.NumClasses)
	return t
}

// Name returns the name of the VM.
func (t *Target) Name() string { return t.name }

// InFlight returns the calls begun and not ended.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Begin notes a call that is about to be sent.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End notes an answer after a duration in milliseconds. An answer that reports
// an error makes the VM less attractive than others, however fast it came.
func (t *Target) End(now clock.Millis, duration float64, isError bool) {
	t.inFlight.Add(-1)
	t.consecutiveFailures.Store(0)
	share := 0.0
	if isError {
		share = 1
	} else {
		updateMean(&t.meanLatency, duration)
	}
	known := t.currentErrorRate(now)
	t.errorRate.Store(math.Float64bits(known + sampleWeight*(share-known)))
	t.errorRateAt.Store(int64(now))
	if !isError && t.faulty(now) {
		// One whole answer ends the exclusion; the next error brings it back.
		t.errorRate.Store(math.Float64bits(faultyErrorRate))
	}
}

// faulty reports whether the VM answers mostly errors.
func (t *Target) faulty(now clock.Millis) bool {
	return t.currentErrorRate(now) > faultyErrorRate
}

// Fail notes a call without an answer. It says nothing of the duration.
func (t *Target) EndFailed(now clock.Millis) {
	t.inFlight.Add(-1)
	t.recordFailure(now)
}

// blend moves a mean towards a sample. An update that is lost to a concurrent
// one does no harm.
func updateMean(mean *atomic.Uint64, sample float64) {
	old := math.Float64frombits(mean.Load())
	mean.Store(math.Float64bits(old + sampleWeight*(sample-old)))
}

// Refuse notes the end of a call that the VM's node refused.
func (t *Target) EndRefused() {
	t.inFlight.Add(-1)
	t.consecutiveFailures.Store(0)
}

// Abandon notes the end of a call that the caller gave up.
func (t *Target) EndCancelled() { t.inFlight.Add(-1) }

// fail ejects the VM after several failures in a row. After the span one call
// at a time tries it again.
func (t *Target) recordFailure(now clock.Millis) {
	n := t.consecutiveFailures.Add(1)
	if n < ejectAfter {
		return
	}
	span := min(minEjection<<min(n-ejectAfter, 8), maxEjection)
	t.ejectedUntil.Store(int64(now + span))
}

// SetLevel believes for a while that the VM refuses classes from level on.
func (t *Target) SetLevel(now clock.Millis, level booking.Class) {
	t.level.Store(uint32(level))
	t.levelUntil.Store(int64(now + maxLevelAge))
}

// SetLeaving stops new work to the VM: it said itself that it leaves.
func (t *Target) SetLeaving(now clock.Millis) {
	t.leavingUntil.Store(int64(now + maxLeavingAge))
}

// Renew forgets that the VM was leaving or failing: a new process answers.
func (t *Target) Reset() {
	t.leavingUntil.Store(0)
	t.ejectedUntil.Store(0)
	t.consecutiveFailures.Store(0)
	t.errorRate.Store(0)
	t.level.Store(booking.NumClasses)
}

// Leaving reports whether the VM said that it leaves.
func (t *Target) Leaving(now clock.Millis) bool {
	return int64(now) < t.leavingUntil.Load()
}

// Ejected reports whether the VM gets no work after its failures. Once the
// span is over, a single call at a time is let through until one succeeds.
func (t *Target) Ejected(now clock.Millis) bool {
	if t.consecutiveFailures.Load() < ejectAfter {
		return false
	}
	return int64(now) < t.ejectedUntil.Load() || t.inFlight.Load() > 0
}

// refuses reports whether the VM would refuse class.
func (t *Target) refuses(now clock.Millis, class booking.Class) bool {
	return uint32(class) > t.level.Load() && int64(now) < t.levelUntil.Load()
}

// probe reports whether a call may test a VM that refuses its class.
func (t *Target) allowProbe(now clock.Millis) bool {
	next := t.nextProbe.Load()
	return int64(now) >= next && t.nextProbe.CompareAndSwap(next, int64(now+probeInterval))
}

// errorShare returns the share of answers that report an error, from 0 to 1. It
// fades while the VM gets no calls, so that it is tried again.
func (t *Target) currentErrorRate(now clock.Millis) float64 {
	share := math.Float64frombits(t.errorRate.Load())
	if share == 0 {
		return 0
	}
	return share * math.Exp(-float64(int64(now)-t.errorRateAt.Load())/float64(errorDecay))
}

// latencyOr returns the mean duration of a call, or usual when none ended yet,
// in milliseconds.
func (t *Target) meanLatencyOr(usual float64) float64 {
	if latency := math.Float64frombits(t.meanLatency.Load()); latency > 0 {
		return latency
	}
	return usual
}
