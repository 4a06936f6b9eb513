package booking

import "cuminhollow.example/clock"

// Stats is the state of a Controller.
type Stats struct {
	// Limit is the concurrency limit; Running and Waiting are counts of calls.
	Limit, Running, Waiting int
	// MeanRunTime is the mean duration of a run, in milliseconds.
	MeanRunTime float64
}

// Stats returns the current state.
func (ct *Controller) Stats() Stats {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return Stats{
		Limit:       ct.limiter.current(),
		Running:     ct.running,
		Waiting:     ct.waiting,
		MeanRunTime: ct.load.allKinds.mean,
	}
}

// KindStats is the state of one kind of work at a Controller.
type KindStats struct {
	// InFlight is the number of runs that count in its quota, and Quota the limit
	// on them; 0 for no limit.
	InFlight int
	Quota    float64
	// MeanRunTime is the mean duration of its runs, in milliseconds.
	MeanRunTime float64
	// DownstreamOverload is the share of the upstream's nested calls that find a
	// downstream service overloaded, from 0 to 1. It is the same for all kinds.
	DownstreamOverload float64
}

// KindStats returns the state of a kind at the given time.
func (ct *Controller) KindStats(now clock.Millis, kind string) KindStats {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	k := ct.load.kinds[kind]
	if k == nil {
		return KindStats{DownstreamOverload: ct.downstreamOverload.current(now)}
	}
	return KindStats{InFlight: k.inFlight, Quota: k.limit, MeanRunTime: k.mean, DownstreamOverload: ct.downstreamOverload.current(now)}
}

// Level returns the admission level: the lowest class that was refused lately,
// or NumClasses when none was. Calls of higher classes are not worth sending.
func (ct *Controller) Level(now clock.Millis) Class {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.load.rollWindow(now)
	return ct.load.lowestRefused()
}
