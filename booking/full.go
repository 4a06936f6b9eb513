package booking

import "cuminhollow.example/clock"

const (
	// strainedWait is the part of a mean run that a call may wait without being a
	// sign that the upstream is full.
	strainedWait = 0.5
	// shortSpan is how long a refusal for want of a slot is a sign of that, in
	// milliseconds.
	shortSpan clock.Millis = 30
)

// full reports whether the slots do not suffice, as c starts: it waited, others
// wait, or some were refused for want of a slot.
func (d *Desk) full(now clock.Millis, c *Call) bool {
	return float64(now-c.arrived) > strainedWait*d.load.all.mean ||
		float64(d.ready()) > strainedWait*float64(d.limiter.current()) ||
		now < d.shortUntil
}

// ready counts the waiting calls that only lack a slot.
func (d *Desk) ready() int {
	n := 0
	for i := range d.queues {
		for _, k := range d.queues[i].kinds {
			if d.mayStart(k.first()) {
				n += k.size
			}
		}
	}
	return n
}

// strainOn returns the strain that concerns a call. Work that is not idempotent
// is not begun while most of its kind fails: what became of it would be open.
func (d *Desk) strainOn(now clock.Millis, c *Call, k *kindLoad) float64 {
	s := d.strain.now(now)
	if c.once && k.failed > mostFail {
		return max(s, k.failed)
	}
	return s
}

// NoteStrain learns from the answer of an onward call of the upstream which
// share of such calls found a service further down full, from 0 to 1.
func (d *Desk) NoteStrain(now clock.Millis, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.strain.note(now, share)
}

// Strain tells those who sent a call that was decided which share of such calls
// finds this upstream, or one further down, full, from 0 to 1.
func (d *Desk) Strain(now clock.Millis, c *Call) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.strained {
		return 1
	}
	return d.strain.now(now)
}
