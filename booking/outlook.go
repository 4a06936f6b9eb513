package booking

import "cuminhollow.example/clock"

// Outlook is what a new call would find at a desk.
type Outlook struct {
	// Wait is the expected wait for a slot, and Run the mean duration of a run
	// of the kind, 0 when unknown; both in milliseconds.
	Wait, Run float64
	// Load is the share of the slots in use, from 0 to 1.
	Load float64
}

// Outlook returns what a new call of a class and kind would find.
func (d *Desk) Outlook(now clock.Millis, class Class, kind string) Outlook {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.roll(now)
	limit := d.limiter.current()
	out := Outlook{Load: min(1, float64(d.running)/float64(limit))}
	full := d.running >= limit
	if k := d.load.kinds[kind]; k != nil {
		out.Run = k.mean
		full = full || k.full(k.inFlight)
	}
	if full {
		out.Wait = d.wait(class, kind, d.shareBefore(class))
	}
	return out
}
