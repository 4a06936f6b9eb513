package kiln

import (
	"slices"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/ledger"
	"cuminhollow.example/record"
)

const (
	// againPause is the wait before a call that the upstream refused is sent to it
	// again, in milliseconds.
	upstreamRetryPause = 8
	// headroom is the share of an upstream's slots that is left free.
	headroom = 0.05
)

// node is a VM: its node and its upstream.
type node struct {
	sim      *simulation
	vm       record.VM
	service  *Service
	upstream *upstream
	// up is unset while the node does not run; life counts its starts.
	up          bool
	incarnation int

	router       *dispatch.Router
	controller   *booking.Controller
	retryLimiter *ledger.RetryLimiter
	retryBuckets map[string]*ledger.Bucket
	queue        []*queuedCall
}

// queued is a call that waits at a desk.
type queuedCall struct {
	*call
	booking   *booking.Call
	onVerdict func(booking.Verdict)
}

// start makes the node a new process.
func (n *node) start() {
	w := n.sim
	n.up = true
	n.incarnation++
	n.router = dispatch.NewRouter(n.vm.Name(), localityOf(n.vm), dispatch.WithRandom(w.random.IntN))
	n.controller = booking.NewController(n.service.Slots, append([]booking.Option{
		booking.WithLimitPolicy(booking.FixedLimit{}),
		booking.WithNestedDetection(),
		booking.WithHeadroom(headroom),
	}, w.controllerOptions...)...)
	n.controller.SetServiceSizes(w.serviceSizes)
	r := w.plan.RetryLimits
	vms := float64(w.serviceSizes[n.service.Name])
	n.retryLimiter = ledger.NewRetryLimiter(r.Share, r.Base/vms, r.Window)
	n.retryBuckets = make(map[string]*ledger.Bucket)
	n.queue = nil
	for _, roster := range w.rosters {
		n.router.Update(roster)
	}
}

func localityOf(v record.VM) dispatch.Locality {
	return dispatch.Locality{Region: v.Region(), Zone: v.Zone()}
}

func (n *node) now() clock.Millis { return n.sim.scheduler.now.millis() }

func (n *node) retryBucket(service string) *ledger.Bucket {
	b := n.retryBuckets[service]
	if b == nil {
		b = ledger.NewBucket()
		n.retryBuckets[service] = b
	}
	return b
}

// take decides on a call from a peer. Reply is called once.
func (n *node) receive(c *call, reply func(answer)) {
	now := n.now()
	b := booking.NewCall(booking.ClassOf(false, c.kind.Rank), c.kind.Name, "", c.deadline)
	b.SetOrigin(c.origin.service.Name)
	b.SetUsefulUntil(c.usefulUntil)
	if !c.kind.Idempotent {
		b.SetNonIdempotent()
	}
	if c.maxWait > 0 {
		b.SetMaxWait(c.maxWait)
	}
	decide := func(v booking.Verdict) { n.handleVerdict(c, b, v, reply) }
	if v := n.controller.Admit(now, b); v != booking.VerdictQueued {
		decide(v)
		return
	}
	q := &queuedCall{call: c, booking: b, onVerdict: decide}
	n.queue = append(n.queue, q)
	life := n.incarnation
	n.sim.scheduler.after(float64(b.LatestStart()-now), func() {
		if n.incarnation == life && n.controller.Cancel(b) {
			n.queue = slices.DeleteFunc(n.queue, func(o *queuedCall) bool { return o == q })
			decide(booking.VerdictExpired)
		}
	})
	n.handleDecided()
}

// collect starts and refuses the queued calls that were decided.
func (n *node) handleDecided() {
	var ready []func()
	n.queue = slices.DeleteFunc(n.queue, func(q *queuedCall) bool {
		select {
		case v := <-q.booking.Decided():
			ready = append(ready, func() { q.onVerdict(v) })
			return true
		default:
			return false
		}
	})
	for _, do := range ready {
		do()
	}
}

// decided acts on the verdict on a call.
func (n *node) handleVerdict(c *call, b *booking.Call, v booking.Verdict, reply func(answer)) {
	tell := func(a answer) {
		class, onward := n.controller.Classify(b.Class(), c.kind.Name, false)
		a.estimate = n.controller.Estimate(n.now(), class, c.kind.Name)
		a.nested = onward
		a.overload = n.controller.Overload(n.now(), b)
		reply(a)
	}
	switch v {
	case booking.VerdictStart:
		n.run(c, b, tell)
	case booking.VerdictBusy:
		tell(answer{outcome: refused, reason: busy})
	case booking.VerdictDownstreamOverload:
		tell(answer{outcome: refused, reason: downstreamOverload})
	case booking.VerdictExpired:
		tell(answer{outcome: refused, reason: expired})
	case booking.VerdictShed, booking.VerdictQueued:
		tell(answer{outcome: refused, reason: noCapacity})
	}
}

// run sends a call that has a slot to the upstream, again while that refuses it
// and the bound on repeats allows.
func (n *node) run(c *call, b *booking.Call, tell func(answer)) {
	began := n.now()
	end := func(a answer) {
		now := n.now()
		hold := n.controller.Done(now, b, resultOf(a.outcome))
		if life := n.incarnation; hold > 0 {
			n.sim.scheduler.after(float64(hold), func() {
				if n.incarnation == life {
					n.controller.Release(n.now(), b)
					n.handleDecided()
				}
			})
		}
		n.handleDecided()
		tell(a)
	}
	if c.retry && !n.retryLimiter.AllowRetry(began) {
		end(answer{outcome: refused, reason: upstreamRefused})
		return
	}
	if !c.retry {
		n.retryLimiter.RecordFirst(began)
	}
	n.sendToUpstream(c, n.incarnation, end)
}

func (n *node) sendToUpstream(c *call, life int, end func(answer)) {
	if n.upstream.refuses() {
		now := n.now()
		if now+upstreamRetryPause < c.deadline && n.retryLimiter.AllowRetry(now) {
			n.sim.scheduler.after(upstreamRetryPause, func() { n.sendToUpstream(c, life, end) })
			return
		}
		end(answer{outcome: refused, reason: upstreamRefused, reachedUpstream: true})
		return
	}
	n.upstream.run(c.kind, func(free func()) {
		n.runNestedCalls(c, 0, 0, func(ok bool) {
			free()
			switch {
			case n.incarnation != life:
			case n.now() > c.deadline:
				end(answer{outcome: lost, reachedUpstream: true})
			case ok:
				end(answer{outcome: answered, reachedUpstream: true})
			default:
				end(answer{outcome: errored, reachedUpstream: true})
			}
		})
	})
}

// onward makes the onward calls of a run from the one that comes next.
func (n *node) runNestedCalls(parent *call, calls, times int, done func(ok bool)) {
	if calls < len(parent.kind.NestedCalls) && times >= parent.kind.NestedCalls[calls].Count {
		calls, times = calls+1, 0
	}
	if calls == len(parent.kind.NestedCalls) {
		done(true)
		return
	}
	k := n.sim.kinds[parent.kind.NestedCalls[calls].Kind]
	deadline := min(parent.deadline, n.now()+k.TimeLimit)
	settled := false
	settle := func(ok bool) {
		switch {
		case settled:
		case !ok:
			settled = true
			done(false)
		default:
			settled = true
			n.runNestedCalls(parent, calls, times+1, done)
		}
	}
	n.submit(k, deadline, func(a answer) { settle(a.outcome == answered) })
	n.sim.scheduler.after(float64(deadline-n.now()), func() { settle(false) })
}

// resultOf classifies the end of a run for the desk.
func resultOf(o outcome) booking.Result {
	switch o {
	case answered:
		return booking.ResultOK
	case errored:
		return booking.ResultError
	default:
		return booking.ResultFailed
	}
}
