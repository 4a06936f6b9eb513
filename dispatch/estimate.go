package dispatch

import (
	"math"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

const (
	// maxLoadAge is how long a reported load is used, in milliseconds.
	maxLoadAge clock.Millis = 500
	// runTimeDecay is the time constant by which the weight of a reported mean
	// run time decays, in milliseconds: after it the weight is 1/e.
	runTimeDecay clock.Millis = 4 * clock.Second
	// The cost of another zone and of another region is the target time of the
	// call divided by regionCostDivisor or farCostDivisor, and at least
	// minRegionCost or minFarCost milliseconds. A VM there is picked only if it
	// is expected to be faster by more than this cost.
	regionCostDivisor = 25
	minRegionCost     = 5
	farCostDivisor    = 2
	minFarCost        = 120
)

// tierCost returns the cost that the distance of a tier adds to a call, in
// milliseconds. It grows with the target time: a call that a near VM answers in
// time is not worth the traffic between zones or regions.
func tierCost(tier Tier, targetTime clock.Millis) float64 {
	switch tier {
	case TierZone:
		return 0
	case TierRegion:
		return max(minRegionCost, float64(targetTime)/regionCostDivisor)
	default:
		return max(minFarCost, float64(targetTime)/farCostDivisor)
	}
}

// loadEstimate is an estimate that a VM reported and the time of the report. It
// is immutable.
type loadEstimate struct {
	at clock.Millis
	booking.Estimate
}

// kindEstimate is what a VM reported for one kind of work and the time of the
// report. It is immutable.
type kindEstimate struct {
	at clock.Millis
	// meanRunTime is the mean duration of a run, 0 if unknown, and wait the
	// expected wait for a slot, both in milliseconds.
	meanRunTime, wait float64
}

// SetEstimate stores the estimate that the VM reported for calls of a kind. Its
// parts lose their weight as they age.
func (t *Target) SetEstimate(now clock.Millis, kind string, e booking.Estimate) {
	t.estimate.Store(&loadEstimate{at: now, Estimate: e})
	t.kindEstimates.Store(kind, &kindEstimate{at: now, meanRunTime: e.MeanRunTime, wait: e.Wait})
}

// kindEstimate returns the last report of the VM for a kind, or nil if there is
// none.
func (t *Target) kindEstimate(name string) *kindEstimate {
	if v, ok := t.kindEstimates.Load(name); ok {
		return v.(*kindEstimate)
	}
	return nil
}

// expectedWait returns how long a call of a kind is expected to wait for a
// slot: the reported wait less the time since the report, in milliseconds.
func (t *Target) expectedWait(now clock.Millis, kind string) float64 {
	k := t.kindEstimate(kind)
	if k == nil {
		return 0
	}
	return max(0, k.wait-float64(now-k.at))
}

// reportedLoad returns the last reported share of slots in use, from 0 to 1, or
// 0 if the report is older than maxLoadAge.
func (t *Target) reportedLoad(now clock.Millis) float64 {
	e := t.estimate.Load()
	if e == nil || now-e.at > maxLoadAge {
		return 0
	}
	return e.Load
}

// meanRunTime returns the mean run time of a kind in milliseconds. With the age
// of the report it moves towards fallback, which is returned if there is no
// report.
func (t *Target) meanRunTime(now clock.Millis, kind string, fallback float64) float64 {
	k := t.kindEstimate(kind)
	if k == nil || k.meanRunTime == 0 {
		return fallback
	}
	weight := math.Exp(-float64(now-k.at) / float64(runTimeDecay))
	return fallback + (k.meanRunTime-fallback)*weight
}
