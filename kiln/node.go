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
	againPause = 8
	// headroom is the share of an upstream's slots that is left free.
	headroom = 0.05
)

// node is a VM: its node and its upstream.
type node struct {
	world    *world
	vm       record.VM
	service  *Service
	upstream *upstream
	// up is unset while the node does not run; life counts its starts.
	up   bool
	life int

	router  *dispatch.Router
	desk    *booking.Controller
	repeats *ledger.RetryLimiter
	buckets map[string]*ledger.Bucket
	queued  []*queued
}

// queued is a call that waits at a desk.
type queued struct {
	*call
	booked *booking.Call
	decide func(booking.Verdict)
}

// start makes the node a new process.
func (n *node) start() {
	w := n.world
	n.up = true
	n.life++
	n.router = dispatch.NewRouter(n.vm.Name(), placeOf(n.vm), dispatch.WithRandom(w.random.IntN))
	n.desk = booking.NewController(n.service.Slots, append([]booking.Option{
		booking.WithLimitPolicy(booking.FixedLimit{}),
		booking.WithNestedDetection(),
		booking.WithHeadroom(headroom),
	}, w.desk...)...)
	n.desk.SetServiceSizes(w.sizes)
	r := w.plan.Repeats
	vms := float64(w.sizes[n.service.Name])
	n.repeats = ledger.NewRetryLimiter(r.Share, r.Spare/vms, r.Window)
	n.buckets = make(map[string]*ledger.Bucket)
	n.queued = nil
	for _, roster := range w.rosters {
		n.router.Update(roster)
	}
}

func placeOf(v record.VM) dispatch.Locality {
	return dispatch.Locality{Region: v.Region(), Zone: v.Zone()}
}

func (n *node) now() clock.Millis { return n.world.agenda.now.millis() }

func (n *node) bucket(service string) *ledger.Bucket {
	b := n.buckets[service]
	if b == nil {
		b = ledger.NewBucket()
		n.buckets[service] = b
	}
	return b
}

// take decides on a call from a peer. Reply is called once.
func (n *node) take(c *call, reply func(answer)) {
	now := n.now()
	b := booking.NewCall(booking.ClassOf(false, c.kind.Rank), c.kind.Name, "", c.deadline)
	b.SetOrigin(c.origin.service.Name)
	b.SetUsefulUntil(c.useful)
	if !c.kind.Idempotent {
		b.SetNonIdempotent()
	}
	if c.patience > 0 {
		b.SetMaxWait(c.patience)
	}
	decide := func(v booking.Verdict) { n.decided(c, b, v, reply) }
	if v := n.desk.Admit(now, b); v != booking.VerdictQueued {
		decide(v)
		return
	}
	q := &queued{call: c, booked: b, decide: decide}
	n.queued = append(n.queued, q)
	life := n.life
	n.world.agenda.after(float64(b.LatestStart()-now), func() {
		if n.life == life && n.desk.Cancel(b) {
			n.queued = slices.DeleteFunc(n.queued, func(o *queued) bool { return o == q })
			decide(booking.VerdictExpired)
		}
	})
	n.collect()
}

// collect starts and refuses the queued calls that were decided.
func (n *node) collect() {
	var ready []func()
	n.queued = slices.DeleteFunc(n.queued, func(q *queued) bool {
		select {
		case v := <-q.booked.Decided():
			ready = append(ready, func() { q.decide(v) })
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
func (n *node) decided(c *call, b *booking.Call, v booking.Verdict, reply func(answer)) {
	tell := func(a answer) {
		class, onward := n.desk.Classify(b.Class(), c.kind.Name, false)
		a.outlook = n.desk.Estimate(n.now(), class, c.kind.Name)
		a.onward = onward
		a.strain = n.desk.Overload(n.now(), b)
		reply(a)
	}
	switch v {
	case booking.VerdictStart:
		n.run(c, b, tell)
	case booking.VerdictBusy:
		tell(answer{outcome: refused, reason: busy})
	case booking.VerdictDownstreamOverload:
		tell(answer{outcome: refused, reason: strained})
	case booking.VerdictExpired:
		tell(answer{outcome: refused, reason: expired})
	case booking.VerdictShed, booking.VerdictQueued:
		tell(answer{outcome: refused, reason: full})
	}
}

// run sends a call that has a slot to the upstream, again while that refuses it
// and the bound on repeats allows.
func (n *node) run(c *call, b *booking.Call, tell func(answer)) {
	began := n.now()
	end := func(a answer) {
		now := n.now()
		hold := n.desk.Done(now, b, resultOf(a.outcome))
		if life := n.life; hold > 0 {
			n.world.agenda.after(float64(hold), func() {
				if n.life == life {
					n.desk.Release(n.now(), b)
					n.collect()
				}
			})
		}
		n.collect()
		tell(a)
	}
	if c.repeat && !n.repeats.AllowRetry(began) {
		end(answer{outcome: refused, reason: shed})
		return
	}
	if !c.repeat {
		n.repeats.RecordFirst(began)
	}
	n.send(c, n.life, end)
}

func (n *node) send(c *call, life int, end func(answer)) {
	if n.upstream.shed() {
		now := n.now()
		if now+againPause < c.deadline && n.repeats.AllowRetry(now) {
			n.world.agenda.after(againPause, func() { n.send(c, life, end) })
			return
		}
		end(answer{outcome: refused, reason: shed, reached: true})
		return
	}
	n.upstream.work(c.kind, func(free func()) {
		n.onward(c, 0, 0, func(ok bool) {
			free()
			switch {
			case n.life != life:
			case n.now() > c.deadline:
				end(answer{outcome: lost, reached: true})
			case ok:
				end(answer{outcome: answered, reached: true})
			default:
				end(answer{outcome: errored, reached: true})
			}
		})
	})
}

// onward makes the onward calls of a run from the one that comes next.
func (n *node) onward(parent *call, calls, times int, done func(ok bool)) {
	if calls < len(parent.kind.Calls) && times >= parent.kind.Calls[calls].Times {
		calls, times = calls+1, 0
	}
	if calls == len(parent.kind.Calls) {
		done(true)
		return
	}
	k := n.world.kinds[parent.kind.Calls[calls].Kind]
	deadline := min(parent.deadline, n.now()+k.Limit)
	settled := false
	settle := func(ok bool) {
		switch {
		case settled:
		case !ok:
			settled = true
			done(false)
		default:
			settled = true
			n.onward(parent, calls, times+1, done)
		}
	}
	n.submit(k, deadline, func(a answer) { settle(a.outcome == answered) })
	n.world.agenda.after(float64(deadline-n.now()), func() { settle(false) })
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
