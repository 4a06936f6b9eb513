package dispatch

import (
	"math"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

const (
	// loadAge is how long a reported load is believed, in milliseconds.
	maxLoadAge clock.Millis = 500
	// runAge is the span after which a mean duration counts by a third only, in
	// milliseconds.
	runTimeDecay clock.Millis = 4 * clock.Second
	// regionParts and farParts are the parts of its target time that a call may
	// take longer nearer by before a VM of the tier is better, and regionCost and
	// farCost the least that it may, in milliseconds.
	regionCostDivisor = 25
	minRegionCost     = 5
	farCostDivisor    = 2
	minFarCost        = 120
)

// tierCost is what the distance of a tier costs a call, in milliseconds: an
// answer in good time is not worth the bytes of a longer way.
func tierCost(tier Tier, target clock.Millis) float64 {
	switch tier {
	case TierZone:
		return 0
	case TierRegion:
		return max(minRegionCost, float64(target)/regionCostDivisor)
	default:
		return max(minFarCost, float64(target)/farCostDivisor)
	}
}

// outlook is what a VM said of its upstream at a time. It is immutable.
type loadEstimate struct {
	at clock.Millis
	booking.Estimate
}

// kindOutlook is what a VM said of one kind at a time. It is immutable.
type kindEstimate struct {
	at clock.Millis
	// mean is the mean duration of a run, 0 when unknown, and wait the expected wait
	// for a slot; both in milliseconds.
	mean, wait float64
}

// SetOutlook believes for a while what the VM says of its upstream.
func (t *Target) SetEstimate(now clock.Millis, kind string, o booking.Estimate) {
	t.estimate.Store(&loadEstimate{at: now, Estimate: o})
	t.kindEstimates.Store(kind, &kindEstimate{at: now, mean: o.MeanRunTime, wait: o.Wait})
}

// kind returns what the VM last said of a kind; nil when it said nothing.
func (t *Target) kindEstimate(name string) *kindEstimate {
	if v, ok := t.kindEstimates.Load(name); ok {
		return v.(*kindEstimate)
	}
	return nil
}

// wait returns the expected wait of a kind for a slot, in milliseconds.
func (t *Target) expectedWait(now clock.Millis, kind string) float64 {
	k := t.kindEstimate(kind)
	if k == nil {
		return 0
	}
	return max(0, k.wait-float64(now-k.at))
}

// load returns the share of the slots in use, as last reported.
func (t *Target) reportedLoad(now clock.Millis) float64 {
	o := t.estimate.Load()
	if o == nil || now-o.at > maxLoadAge {
		return 0
	}
	return o.Load
}

// run returns the mean duration of a run of a kind; the older it is, the closer
// it comes to usual, which is returned when nothing is known.
func (t *Target) meanRun(now clock.Millis, kind string, usual float64) float64 {
	r := t.kindEstimate(kind)
	if r == nil || r.mean == 0 {
		return usual
	}
	trust := math.Exp(-float64(now-r.at) / float64(runTimeDecay))
	return usual + (r.mean-usual)*trust
}
