package booking

import (
	"math"

	"cuminhollow.example/clock"
)

// Parameters of overloadEstimate.
const (
	// overloadMinWeight is the least weight of the answer to one nested call.
	overloadMinWeight = 0.1
	// overloadMemory is the time constant, in milliseconds, with which the weight
	// of earlier answers decays: after that span they count for about a third.
	// The rarer the answers, the more weight each has.
	overloadMemory clock.Millis = 500
	// overloadIdleMemory is the time constant with which the estimate decays while
	// no answer arrives, in milliseconds.
	overloadIdleMemory clock.Millis = 3 * clock.Second
)

// overloadEstimate estimates the share of an upstream's nested calls that find a
// downstream service overloaded. The zero value is an estimate of 0.
type overloadEstimate struct {
	// share is the estimate at the time updatedAt, from 0 to 1.
	share     float64
	updatedAt clock.Millis
}

// observe updates the estimate with the share that the answer to one nested call
// reports, clamped to the range 0 to 1.
func (e *overloadEstimate) observe(now clock.Millis, share float64) {
	weight := max(overloadMinWeight, 1-decay(now-e.updatedAt, overloadMemory))
	e.share += weight * (min(max(share, 0), 1) - e.share)
	e.updatedAt = now
}

// current returns the estimate at the given time, from 0 to 1.
func (e *overloadEstimate) current(now clock.Millis) float64 {
	return e.share * decay(now-e.updatedAt, overloadIdleMemory)
}

// decay returns the factor of an exponential decay after a span.
func decay(span, timeConstant clock.Millis) float64 {
	return math.Exp(-float64(max(0, span)) / float64(timeConstant))
}
