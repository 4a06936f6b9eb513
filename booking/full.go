package booking

import "cuminhollow.example/clock"

const (
	// strainedWait is the part of a mean run that a call may wait without being a
	// sign that the upstream is full.
	overloadThreshold = 0.5
	// shortSpan is how long a refusal for want of a slot is a sign of that, in
	// milliseconds.
	overloadedAfterShed clock.Millis = 30
)

// full reports whether the slots do not suffice, as c starts: it waited, others
// wait, or some were refused for want of a slot.
func (d *Controller) overloaded(now clock.Millis, c *Call) bool {
	return float64(now-c.arrived) > overloadThreshold*d.load.allKinds.mean ||
		float64(d.waitingForSlot()) > overloadThreshold*float64(d.limiter.current()) ||
		now < d.overloadedUntil
}

// ready counts the waiting calls that only lack a slot.
func (d *Controller) waitingForSlot() int {
	n := 0
	for i := range d.queues {
		for _, k := range d.queues[i].kinds {
			if d.quotaAllows(k.peek()) {
				n += k.size
			}
		}
	}
	return n
}

// strainOn returns the strain that concerns a call. Work that is not idempotent
// is not begun while most of its kind fails: what became of it would be open.
func (d *Controller) overloadFor(now clock.Millis, c *Call, k *kindLoad) float64 {
	s := d.downstreamOverload.current(now)
	if c.nonIdempotent && k.failedShare > maxFailedNonIdempotent {
		return max(s, k.failedShare)
	}
	return s
}

// NoteStrain learns from the answer of an onward call of the upstream which
// share of such calls found a service further down full, from 0 to 1.
func (d *Controller) ObserveDownstreamOverload(now clock.Millis, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downstreamOverload.observe(now, share)
}

// Strain tells those who sent a call that was decided which share of such calls
// finds this upstream, or one further down, full, from 0 to 1.
func (d *Controller) Overload(now clock.Millis, c *Call) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.overloaded {
		return 1
	}
	return d.downstreamOverload.current(now)
}
