package booking

import "cuminhollow.example/clock"

// Outlook is what a new call would find at a desk.
type Estimate struct {
	// Wait is the expected wait for a slot, and Run the mean duration of a run
	// of the kind, 0 when unknown; both in milliseconds.
	Wait, MeanRunTime float64
	// Load is the share of the slots in use, from 0 to 1.
	Load float64
}

// Outlook returns what a new call of a class and kind would find.
func (d *Controller) Estimate(now clock.Millis, class Class, kind string) Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.rollWindow(now)
	limit := d.limiter.current()
	out := Estimate{Load: min(1, float64(d.running)/float64(limit))}
	full := d.running >= limit
	if k := d.load.kinds[kind]; k != nil {
		out.MeanRunTime = k.mean
		full = full || k.atLimit(k.inFlight)
	}
	if full {
		out.Wait = d.estimateWait(class, kind, d.higherPriorityShare(class))
	}
	return out
}
