package kiln

import "cuminhollow.example/clock"

const (
	// clientDelay is the one-way delay between clients and nodes, in
	// milliseconds.
	clientDelay = 3
	// returnMin and returnPart say when a refused client returns: after
	// returnMin milliseconds and up to a part of the target time.
	refusedPauseMin    = 150
	refusedPauseSpread = 0.4
	// returnLimit is the part of its time left that a client waits at most.
	refusedPauseLimit = 1.0 / 3
	// repeatPause is the wait before a client repeats a request that failed, in
	// milliseconds.
	failedPause = 50
	// readyDelay is how long after a start of the nodes clients come back, in
	// milliseconds.
	nodeDownPause clock.Millis = 500
)

// client sends the requests of a kind in a zone.
type client struct {
	sim  *simulation
	kind *Kind
	zone Zone
}

// arrive plans the next request of a client.
func (w *simulation) scheduleArrival(c *client) {
	rate := c.kind.Rate * c.zone.Share
	if rate <= 0 {
		return
	}
	peak := w.peakBurstFactor(c.kind)
	w.scheduler.after(w.random.ExpFloat64()*float64(clock.Second)/(rate*peak), func() {
		now := w.scheduler.now.millis()
		if now >= w.plan.Length {
			return
		}
		if w.random.Float64()*peak < w.burstFactor(c.kind, now) {
			c.startRequest()
		}
		w.scheduleArrival(c)
	})
}

// factor is the factor of the bursts at a time.
func (w *simulation) burstFactor(k *Kind, now clock.Millis) float64 {
	f := 1.0
	for _, t := range w.plan.Disturbances {
		if b, ok := t.(Burst); ok && b.contains(now) && (b.Kind == "" || b.Kind == k.Name) {
			f *= b.Factor
		}
	}
	return f
}

// peak is the largest factor of all times.
func (w *simulation) peakBurstFactor(k *Kind) float64 {
	f := 1.0
	for _, t := range w.plan.Disturbances {
		if b, ok := t.(Burst); ok && (b.Kind == "" || b.Kind == k.Name) {
			f *= max(1, b.Factor)
		}
	}
	return f
}

// request is one request of a client, with its attempts.
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

// send makes an attempt through a node of the client's zone.
func (q *request) attempt() {
	w := q.sim
	q.attempts++
	nodes := w.nodesByZone[q.zone.Name]
	n := nodes[w.random.IntN(len(nodes))]
	w.scheduler.after(clientDelay, func() {
		now := w.scheduler.now.millis()
		settled := false
		settle := func(a answer) {
			if settled {
				return
			}
			settled = true
			w.scheduler.after(clientDelay, func() { q.handleAnswer(a) })
		}
		n.submit(q.kind, min(q.deadline, now+q.kind.TimeLimit), settle)
		w.scheduler.after(float64(q.deadline-now), func() { settle(answer{outcome: lost}) })
	})
}

// settle takes the answer, and sends the request once more if it may.
func (q *request) handleAnswer(a answer) {
	w := q.sim
	now := w.scheduler.now.millis()
	again := a.outcome == refused || a.reason == nodeDown || q.kind.Idempotent && a.outcome != answered
	if a.outcome == answered || !again || q.attempts > 1 || now >= q.deadline {
		w.result.recordAnswer(q.kind, q.started, now-q.started, a)
		return
	}
	pause := float64(failedPause)
	if a.outcome == refused {
		pause = refusedPauseMin + refusedPauseSpread*float64(min(q.kind.TargetTime, q.kind.TimeLimit))*w.random.Float64()
		pause = min(pause, refusedPauseLimit*float64(q.deadline-now))
	}
	if a.reason == nodeDown {
		pause = float64(nodeDownPause)
	}
	w.scheduler.after(pause, q.attempt)
}
