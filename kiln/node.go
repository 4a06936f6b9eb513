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
	// upstreamRetryPause is the pause before a call that the upstream refused
	// is sent to the same upstream again, in milliseconds.
	upstreamRetryPause = 8
	// headroom is the share of an upstream's slots that controllers keep free.
	headroom = 0.05
)

// node is the node of a VM, with the upstream beside it.
type node struct {
	sim      *simulation
	vm       record.VM
	service  *Service
	upstream *upstream
	// up is set while the node runs. incarnation changes with every start and
	// stop, so that a callback of an earlier process can be recognised and
	// ignored.
	up          bool
	incarnation int

	router       *dispatch.Router
	controller   *booking.Controller
	retryLimiter *ledger.RetryLimiter
	retryBuckets map[string]*ledger.Bucket
	// nestedKinds holds the kinds that owners take for nested calls.
	nestedKinds map[string]bool
	queue       []*queuedCall
}

// queuedCall is a call in the queue of the node's controller.
type queuedCall struct {
	*call
	booking   *booking.Call
	onVerdict func(booking.Verdict)
}

// start starts a new process of the node, without any state of an earlier one.
func (n *node) start() {
	sim := n.sim
	n.up = true
	n.incarnation++
	n.router = dispatch.NewRouter(n.vm.Name(), localityOf(n.vm), dispatch.WithRandom(sim.random.IntN))
	n.controller = booking.NewController(n.service.Slots, append([]booking.Option{
		booking.WithLimitPolicy(booking.FixedLimit{}),
		booking.WithNestedDetection(),
		booking.WithHeadroom(headroom),
	}, sim.controllerOptions...)...)
	n.controller.SetServiceSizes(sim.serviceSizes)
	r := sim.plan.RetryLimits
	vms := float64(sim.serviceSizes[n.service.Name])
	n.retryLimiter = ledger.NewRetryLimiter(r.Share, r.Base/vms, r.Window)
	n.retryBuckets = make(map[string]*ledger.Bucket)
	n.nestedKinds = make(map[string]bool)
	n.queue = nil
	for _, roster := range sim.rosters {
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

// receive admits, queues or refuses a call from an entry node. It calls reply
// once, unless the node stops first.
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
	onVerdict := func(v booking.Verdict) { n.handleVerdict(c, b, v, reply) }
	if v := n.controller.Admit(now, b); v != booking.VerdictQueued {
		onVerdict(v)
		return
	}
	q := &queuedCall{call: c, booking: b, onVerdict: onVerdict}
	n.queue = append(n.queue, q)
	incarnation := n.incarnation
	n.sim.scheduler.after(float64(b.LatestStart()-now), func() {
		if n.incarnation == incarnation && n.controller.Cancel(b) {
			n.queue = slices.DeleteFunc(n.queue, func(o *queuedCall) bool { return o == q })
			onVerdict(booking.VerdictExpired)
		}
	})
	n.handleDecided()
}

// handleDecided starts or refuses the queued calls on which the controller has
// decided.
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
	for _, handle := range ready {
		handle()
	}
}

// handleVerdict runs a call or answers with the refusal.
func (n *node) handleVerdict(c *call, b *booking.Call, v booking.Verdict, reply func(answer)) {
	respond := func(a answer) {
		class, nested := n.controller.Classify(b.Class(), c.kind.Name, false)
		a.estimate = n.controller.Estimate(n.now(), class, c.kind.Name)
		a.level = n.controller.Level(n.now())
		a.nested = nested
		a.overload = n.controller.Overload(n.now(), b)
		reply(a)
	}
	switch v {
	case booking.VerdictStart:
		n.run(c, b, respond)
	case booking.VerdictBusy:
		respond(answer{outcome: refused, reason: busy})
	case booking.VerdictDownstreamOverload:
		respond(answer{outcome: refused, reason: downstreamOverload})
	case booking.VerdictExpired:
		respond(answer{outcome: refused, reason: expired})
	case booking.VerdictShed, booking.VerdictQueued, booking.VerdictClosed:
		respond(answer{outcome: refused, reason: noCapacity})
	}
}

// run runs a call that the controller started, unless it is a retry and the
// retry rate limit is reached.
func (n *node) run(c *call, b *booking.Call, respond func(answer)) {
	started := n.now()
	end := func(a answer) {
		now := n.now()
		reserved := n.controller.Done(now, b, resultOf(a.outcome))
		if incarnation := n.incarnation; reserved > 0 {
			n.sim.scheduler.after(float64(reserved), func() {
				if n.incarnation == incarnation {
					n.controller.Release(n.now(), b)
					n.handleDecided()
				}
			})
		}
		n.handleDecided()
		respond(a)
	}
	if c.retry && !n.retryLimiter.AllowRetry(started) {
		end(answer{outcome: refused, reason: upstreamRefused})
		return
	}
	if !c.retry {
		n.retryLimiter.RecordFirst(started)
	}
	n.sendToUpstream(c, n.incarnation, end)
}

// sendToUpstream sends a call to the upstream, and sends it again after a pause
// if the upstream refuses it and the retry rate limit allows it.
func (n *node) sendToUpstream(c *call, incarnation int, end func(answer)) {
	if n.upstream.refuses() {
		now := n.now()
		if now+upstreamRetryPause < c.deadline && n.retryLimiter.AllowRetry(now) {
			n.sim.scheduler.after(upstreamRetryPause, func() { n.sendToUpstream(c, incarnation, end) })
			return
		}
		end(answer{outcome: refused, reason: upstreamRefused, reachedUpstream: true})
		return
	}
	n.upstream.run(c.kind, func(release func()) {
		n.runNestedCalls(c, 0, 0, func(ok bool) {
			release()
			switch {
			case n.incarnation != incarnation:
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

// runNestedCalls makes the remaining nested calls of a run, one after the
// other. index is the position in Kind.NestedCalls, and made is the number of
// calls already made of that entry. It stops at the first call that fails.
func (n *node) runNestedCalls(parent *call, index, made int, done func(ok bool)) {
	if index < len(parent.kind.NestedCalls) && made >= parent.kind.NestedCalls[index].Count {
		index, made = index+1, 0
	}
	if index == len(parent.kind.NestedCalls) {
		done(true)
		return
	}
	k := n.sim.kinds[parent.kind.NestedCalls[index].Kind]
	deadline := min(parent.deadline, n.now()+k.TimeLimit)
	ended := false
	end := func(ok bool) {
		switch {
		case ended:
		case !ok:
			ended = true
			done(false)
		default:
			ended = true
			n.runNestedCalls(parent, index, made+1, done)
		}
	}
	n.submit(k, deadline, func(a answer) { end(a.outcome == answered) })
	n.sim.scheduler.after(float64(deadline-n.now()), func() { end(false) })
}

// resultOf returns the result that is reported to the controller.
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
