package booking

import "cuminhollow.example/clock"

// Estimate is what a new call can expect of a Controller.
type Estimate struct {
	// Wait is the expected wait for a slot, and MeanRunTime the mean duration of a
	// run of the kind, 0 when unknown; both in milliseconds.
	Wait, MeanRunTime float64
	// Load is the share of the slots in use, from 0 to 1.
	Load float64
}

// Estimate returns what a new call of a class and kind can expect.
func (ct *Controller) Estimate(now clock.Millis, class Class, kind string) Estimate {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.load.rollWindow(now)
	limit := ct.limiter.current()
	est := Estimate{Load: min(1, float64(ct.running)/float64(limit))}
	mustWait := ct.running >= limit
	if k := ct.load.kinds[kind]; k != nil {
		est.MeanRunTime = k.mean
		mustWait = mustWait || k.atLimit(k.inFlight)
	}
	if mustWait {
		est.Wait = ct.estimateWait(class, kind, ct.higherPriorityShare(class))
	}
	return est
}
