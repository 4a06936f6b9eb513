package booking

import "cuminhollow.example/clock"

// Stats is the state of a Desk.
type Stats struct {
	// Limit, Running and Waiting are counts of calls.
	Limit, Running, Waiting int
	// Mean is the mean duration of a run, in milliseconds.
	MeanRunTime float64
}

// Stats returns the state now.
func (d *Controller) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{
		Limit:       d.limiter.current(),
		Running:     d.running,
		Waiting:     d.waiting,
		MeanRunTime: d.load.allKinds.mean,
	}
}

// KindStats is the state of one kind of work at a Desk.
type KindStats struct {
	// InFlight is the number of runs that count in its quota, and Quota the most
	// of them; 0 for no limit.
	InFlight int
	Quota    float64
	// Mean is the mean duration of its runs, in milliseconds.
	MeanRunTime float64
	// Strain is the share of the onward calls of the upstream that find a service
	// full, from 0 to 1.
	DownstreamOverload float64
}

// KindStats returns the state of a kind at a time.
func (d *Controller) KindStats(now clock.Millis, kind string) KindStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.load.kinds[kind]
	if k == nil {
		return KindStats{DownstreamOverload: d.downstreamOverload.current(now)}
	}
	return KindStats{InFlight: k.inFlight, Quota: k.limit, MeanRunTime: k.mean, DownstreamOverload: d.downstreamOverload.current(now)}
}

// Level returns the first class that was refused lately, or Classes when none
// was. Calls of higher classes are not worth sending.
func (d *Controller) Level(now clock.Millis) Class {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.rollWindow(now)
	return d.load.lowestRefused()
}
