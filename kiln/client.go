package kiln

import "cuminhollow.example/clock"

const (
	// clientDelay is the one-way delay between clients and nodes, in
	// milliseconds.
	clientDelay = 3
	// returnMin and returnPart say when a refused client returns: after
	// returnMin milliseconds and up to a part of the target time.
	returnMin  = 150
	returnPart = 0.4
	// returnLimit is the part of its time left that a client waits at most.
	returnLimit = 1.0 / 3
	// repeatPause is the wait before a client repeats a request that failed, in
	// milliseconds.
	repeatPause = 50
	// readyDelay is how long after a start of the nodes clients come back, in
	// milliseconds.
	readyDelay clock.Millis = 500
)

// client sends the requests of a kind in a zone.
type client struct {
	world *world
	kind  *Kind
	zone  Zone
}

// arrive plans the next request of a client.
func (w *world) arrive(c *client) {
	rate := c.kind.Rate * c.zone.Share
	if rate <= 0 {
		return
	}
	peak := w.peak(c.kind)
	w.agenda.after(w.random.ExpFloat64()*float64(clock.Second)/(rate*peak), func() {
		now := w.agenda.now.millis()
		if now >= w.plan.Length {
			return
		}
		if w.random.Float64()*peak < w.factor(c.kind, now) {
			c.request()
		}
		w.arrive(c)
	})
}

// factor is the factor of the bursts at a time.
func (w *world) factor(k *Kind, now clock.Millis) float64 {
	f := 1.0
	for _, t := range w.plan.Troubles {
		if b, ok := t.(Burst); ok && b.holds(now) && (b.Kind == "" || b.Kind == k.Name) {
			f *= b.Factor
		}
	}
	return f
}

// peak is the largest factor of all times.
func (w *world) peak(k *Kind) float64 {
	f := 1.0
	for _, t := range w.plan.Troubles {
		if b, ok := t.(Burst); ok && (b.Kind == "" || b.Kind == k.Name) {
			f *= max(1, b.Factor)
		}
	}
	return f
}

// request is one request of a client, with its attempts.
type request struct {
	*client
	asked    clock.Millis
	deadline clock.Millis
	attempts int
}

func (c *client) request() {
	now := c.world.agenda.now.millis()
	q := &request{client: c, asked: now, deadline: now + c.kind.Deadline}
	c.world.result.ask(c.kind, now)
	q.send()
}

// send makes an attempt through a node of the client's zone.
func (q *request) send() {
	w := q.world
	q.attempts++
	nodes := w.zones[q.zone.Name]
	n := nodes[w.random.IntN(len(nodes))]
	w.agenda.after(clientDelay, func() {
		now := w.agenda.now.millis()
		settled := false
		settle := func(a answer) {
			if settled {
				return
			}
			settled = true
			w.agenda.after(clientDelay, func() { q.settle(a) })
		}
		n.submit(q.kind, min(q.deadline, now+q.kind.Limit), settle)
		w.agenda.after(float64(q.deadline-now), func() { settle(answer{outcome: lost}) })
	})
}

// settle takes the answer, and sends the request once more if it may.
func (q *request) settle(a answer) {
	w := q.world
	now := w.agenda.now.millis()
	again := a.outcome == refused || a.reason == gone || q.kind.Idempotent && a.outcome != answered
	if a.outcome == answered || !again || q.attempts > 1 || now >= q.deadline {
		w.result.answer(q.kind, q.asked, now-q.asked, a)
		return
	}
	pause := float64(repeatPause)
	if a.outcome == refused {
		pause = returnMin + returnPart*float64(min(q.kind.Target, q.kind.Limit))*w.random.Float64()
		pause = min(pause, returnLimit*float64(q.deadline-now))
	}
	if a.reason == gone {
		pause = float64(readyDelay)
	}
	w.agenda.after(pause, q.send)
}
