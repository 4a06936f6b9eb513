package dispatch

import (
	"math"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

const (
	// loadAge is how long a reported load is believed, in milliseconds.
	loadAge clock.Millis = 500
	// runAge is the span after which a mean duration counts by a third only, in
	// milliseconds.
	runAge clock.Millis = 4 * clock.Second
	// regionParts and farParts are the parts of its target time that a call may
	// take longer nearer by before a VM of the tier is better, and regionCost and
	// farCost the least that it may, in milliseconds.
	regionParts = 25
	regionCost  = 5
	farParts    = 2
	farCost     = 120
)

// tierCost is what the distance of a tier costs a call, in milliseconds: an
// answer in good time is not worth the bytes of a longer way.
func tierCost(tier Tier, target clock.Millis) float64 {
	switch tier {
	case TierZone:
		return 0
	case TierRegion:
		return max(regionCost, float64(target)/regionParts)
	default:
		return max(farCost, float64(target)/farParts)
	}
}

// outlook is what a VM said of its upstream at a time. It is immutable.
type outlook struct {
	at clock.Millis
	booking.Outlook
}

// runMean is the mean duration of the runs of one kind on one VM. It is
// immutable.
type runMean struct {
	at   clock.Millis
	mean float64
}

// SetOutlook believes for a while what the VM says of its upstream.
func (t *Target) SetOutlook(now clock.Millis, kind string, o booking.Outlook) {
	t.outlook.Store(&outlook{at: now, Outlook: o})
	if o.Run > 0 {
		t.runs.Store(kind, &runMean{at: now, mean: o.Run})
	}
}

// wait returns the expected wait for a slot, in milliseconds.
func (t *Target) wait(now clock.Millis) float64 {
	o := t.outlook.Load()
	if o == nil {
		return 0
	}
	return max(0, o.Wait-float64(now-o.at))
}

// load returns the share of the slots in use, as last reported.
func (t *Target) load(now clock.Millis) float64 {
	o := t.outlook.Load()
	if o == nil || now-o.at > loadAge {
		return 0
	}
	return o.Load
}

// run returns the mean duration of a run of a kind; the older it is, the closer
// it comes to usual, which is returned when nothing is known.
func (t *Target) run(now clock.Millis, kind string, usual float64) float64 {
	v, ok := t.runs.Load(kind)
	if !ok {
		return usual
	}
	r := v.(*runMean)
	trust := math.Exp(-float64(now-r.at) / float64(runAge))
	return usual + (r.mean-usual)*trust
}
