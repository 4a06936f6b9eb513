package kiln

import "cuminhollow.example/clock"

const (
	// clientDelay is the one-way network delay between clients and nodes, in
	// milliseconds.
	clientDelay = 3
	// A client whose request was refused sends it again after refusedPauseMin
	// milliseconds plus a random part of refusedPauseSpread of the target time.
	refusedPauseMin    = 150
	refusedPauseSpread = 0.4
	// refusedPauseLimit bounds that pause to a part of the time left until the
	// deadline.
	refusedPauseLimit = 1.0 / 3
	// failedPause is the pause before a client retries a request that failed,
	// in milliseconds.
	failedPause = 50
	// nodeDownPause is the pause before a client retries a request whose entry
	// node was down, in milliseconds.
	nodeDownPause clock.Millis = 500
)

// client generates the requests of a kind in a zone, as a Poisson process.
type client struct {
	sim  *simulation
	kind *Kind
	zone Zone
}

// scheduleArrival schedules the next request of a client. It draws arrivals at
// the peak rate and drops a part of them so that the rest follow the current
// rate.
func (sm *simulation) scheduleArrival(c *client) {
	rate := c.kind.Rate * c.zone.Share
	if rate <= 0 {
		return
	}
	peak := sm.peakBurstFactor(c.kind)
	sm.scheduler.after(sm.random.ExpFloat64()*float64(clock.Second)/(rate*peak), func() {
		now := sm.scheduler.now.millis()
		if now >= sm.plan.Length {
			return
		}
		if sm.random.Float64()*peak < sm.burstFactor(c.kind, now) {
			c.startRequest()
		}
		sm.scheduleArrival(c)
	})
}

// burstFactor returns the factor by which bursts multiply the rate of a kind at
// a time.
func (sm *simulation) burstFactor(k *Kind, now clock.Millis) float64 {
	f := 1.0
	for _, d := range sm.plan.Disturbances {
		if b, ok := d.(Burst); ok && b.contains(now) && (b.Kind == "" || b.Kind == k.Name) {
			f *= b.Factor
		}
	}
	return f
}

// peakBurstFactor returns an upper bound of burstFactor over all times.
func (sm *simulation) peakBurstFactor(k *Kind) float64 {
	f := 1.0
	for _, d := range sm.plan.Disturbances {
		if b, ok := d.(Burst); ok && (b.Kind == "" || b.Kind == k.Name) {
			f *= max(1, b.Factor)
		}
	}
	return f
}

// request is one request of a client, with all its attempts.
type request struct {
	*client
	started  clock.Millis
	deadline clock.Millis
	attempts int
}

func (c *client) startRequest() {
	now := c.sim.scheduler.now.millis()
	q := &request{client: c, started: now, deadline: now + c.kind.ClientTimeout}
	c.sim.result.recordRequest(c.kind, now)
	q.attempt()
}

// attempt sends the request to a random node of the client's zone.
func (q *request) attempt() {
	sim := q.sim
	q.attempts++
	nodes := sim.nodesByZone[q.zone.Name]
	n := nodes[sim.random.IntN(len(nodes))]
	sim.scheduler.after(clientDelay, func() {
		now := sim.scheduler.now.millis()
		ended := false
		end := func(a answer) {
			if ended {
				return
			}
			ended = true
			sim.scheduler.after(clientDelay, func() { q.handleAnswer(a) })
		}
		n.submit(q.kind, min(q.deadline, now+q.kind.TimeLimit), end)
		sim.scheduler.after(float64(q.deadline-now), func() { end(answer{outcome: lost}) })
	})
}

// handleAnswer records the answer, or schedules the second and last attempt if
// the request may be sent again: refused requests, requests to a node that was
// down and idempotent requests.
func (q *request) handleAnswer(a answer) {
	sim := q.sim
	now := sim.scheduler.now.millis()
	retryable := a.outcome == refused || a.reason == nodeDown || q.kind.Idempotent && a.outcome != answered
	if a.outcome == answered || !retryable || q.attempts > 1 || now >= q.deadline {
		sim.result.recordAnswer(q.kind, q.started, now-q.started, a)
		return
	}
	pause := float64(failedPause)
	if a.outcome == refused {
		pause = refusedPauseMin + refusedPauseSpread*float64(min(q.kind.TargetTime, q.kind.TimeLimit))*sim.random.Float64()
		pause = min(pause, refusedPauseLimit*float64(q.deadline-now))
	}
	if a.reason == nodeDown {
		pause = float64(nodeDownPause)
	}
	sim.scheduler.after(pause, q.attempt)
}
