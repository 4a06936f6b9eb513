package depot

import (
	"context"
	"errors"
	"sync/atomic"

	"cuminhollow.example/booking"
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
)

const (
	// outcomeGrace is how long non-idempotent work may run past its deadline,
	// so that its outcome is still learnt, in milliseconds.
	outcomeGrace = 10 * clock.Second
	// answerOverhead is the memory of a kept answer besides its body, in bytes.
	answerOverhead = 512
	// againPause is the wait before a call that the upstream refused is sent
	// again, doubled up to againPauseLimit, in milliseconds.
	againPause      clock.Millis = 4
	againPauseLimit clock.Millis = 32
	// loadScale is the unit of a load in an answer, and strainScale that of a
	// strain.
	loadScale   = 1000
	strainScale = 1000
)

// owner admits the calls of peers and runs them on the upstream.
type owner struct {
	decisions *decisions
	clock     clock.Clock
	table     *claim.Table[*portage.Answer]
	desk      *booking.Controller
	upstream  Upstream
	runs      *runTable
	metrics   *metrics
	// repeats bounds what reaches the upstream again.
	repeats *ledger.RetryLimiter
	leaving atomic.Bool
	// closed is set while the upstream takes no new work.
	closed atomic.Bool
	// inWork counts the calls that are queued or running.
	inWork atomic.Int64
}

func answerSize(a *portage.Answer) int { return len(a.Body) + answerOverhead }

// call answers one Call of a peer.
func (o *owner) call(ctx context.Context, c *portage.Call) *portage.Answer {
	deadline := o.clock.Now() + clock.Millis(c.TimeLeftMS)
	if portage.Checksum(c.Body) != c.Sum {
		return o.reply(c, notRun(reasonDamaged, c.Grant))
	}
	if c.Ticket == "" {
		return o.reply(c, o.admit(ctx, c, deadline))
	}
	ticket, err := claim.ParseTicket(c.Ticket)
	if err != nil {
		return o.reply(c, notRun(reasonBadTicket, c.Grant))
	}
	return o.reply(c, o.once(ctx, c, ticket, deadline))
}

// reply completes an answer that may be shared: it copies it.
func (o *owner) reply(c *portage.Call, a *portage.Answer) *portage.Answer {
	out := *a
	out.Request = c.Request
	now := o.clock.Now()
	out.Level = uint8(o.desk.Level(now))
	class, _ := o.place(c)
	view := o.desk.Estimate(now, class, c.Kind)
	out.WaitMS, out.RunMS = int64(view.Wait), int64(view.MeanRunTime)
	out.Load = int(view.Load * loadScale)
	return &out
}

func notRun(reason string, unspent int) *portage.Answer {
	return &portage.Answer{Outcome: portage.OutcomeNotRun, Reason: reason, Unspent: unspent}
}

func unknown(reason string) *portage.Answer {
	return &portage.Answer{Outcome: portage.OutcomeUnknown, Reason: reason}
}

// once runs the work of a ticket unless it ran or was refused before.
func (o *owner) once(ctx context.Context, c *portage.Call, k claim.Ticket, deadline clock.Millis) *portage.Answer {
	reply := o.table.Claim(k)
	if _, first := reply.(claim.Run[*portage.Answer]); !first {
		return o.settled(ctx, k, reply, c.Grant, deadline)
	}
	// The connection may be lost while the work goes on: only a cancellation
	// that the peer sent ends it, and only while it waits.
	a := o.admit(detach(ctx), c, deadline)
	switch a.Outcome {
	case portage.OutcomeAnswered:
		o.table.Finish(k, a)
	case portage.OutcomeNotRun:
		o.table.Refuse(k)
	case portage.OutcomeUnknown:
		o.table.MarkLost(k)
	}
	return a
}

// query answers the question what became of a ticket.
func (o *owner) query(ctx context.Context, q *portage.Query) *portage.Answer {
	k, err := claim.ParseTicket(q.Ticket)
	if err != nil {
		return notRun(reasonBadTicket, 0)
	}
	deadline := o.clock.Now() + clock.Millis(q.TimeLeftMS)
	return o.settled(ctx, k, o.table.Resolve(k), 0, deadline)
}

// settled turns what the table knows of a ticket into an answer and waits, up
// to the deadline, for work that is in progress.
func (o *owner) settled(ctx context.Context, k claim.Ticket, reply claim.Reply[*portage.Answer], grant int, deadline clock.Millis) *portage.Answer {
	for {
		switch r := reply.(type) {
		case claim.Done[*portage.Answer]:
			return r.Answer
		case claim.NotRun[*portage.Answer]:
			return notRun(reasonRefused, grant)
		case claim.Wait[*portage.Answer]:
			if !o.await(ctx, r.Completed, deadline) {
				return unknown(reasonRunning)
			}
			reply = o.table.Resolve(k)
		default:
			return unknown(reasonForgotten)
		}
	}
}

func (o *owner) await(ctx context.Context, settled <-chan struct{}, deadline clock.Millis) bool {
	ctx, cancel := withDeadline(ctx, o.clock, deadline)
	defer cancel()
	select {
	case <-settled:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit waits for a slot and runs the call.
func (o *owner) admit(ctx context.Context, c *portage.Call, deadline clock.Millis) *portage.Answer {
	o.inWork.Add(1)
	defer o.inWork.Add(-1)
	if o.leaving.Load() || o.closed.Load() {
		return o.refuse(c, reasonLeaving, deadline)
	}
	arrived := o.clock.Now()
	b := newBooking(c, deadline)
	v := o.desk.Admit(arrived, b)
	if v == booking.VerdictQueued {
		v = o.queued(ctx, b)
	}
	o.metrics.verdict(v)
	var a *portage.Answer
	switch v {
	case booking.VerdictStart:
		a = o.start(ctx, c, b, arrived, deadline)
	case booking.VerdictExpired:
		a = o.refuse(c, reasonExpired, deadline)
	case booking.VerdictDownstreamOverload:
		a = o.refuse(c, reasonOnward, deadline)
	case booking.VerdictBusy:
		a = o.refuse(c, reasonBusy, deadline)
	case booking.VerdictShed, booking.VerdictQueued:
		a = o.refuse(c, reasonOverload, deadline)
	}
	a.Onward = b.Nested()
	a.Strain = int(o.desk.Overload(o.clock.Now(), b) * strainScale)
	return a
}

// refuse answers that a call did not run and will not.
func (o *owner) refuse(c *portage.Call, reason string, deadline clock.Millis) *portage.Answer {
	now := o.clock.Now()
	o.decisions.refused(c, reason, now, deadline, o.desk.Stats(), o.desk.KindStats(now, c.Group))
	return notRun(reason, c.Grant)
}

// place returns the class in which a call is served, and whether it is an onward
// call.
func (o *owner) place(c *portage.Call) (booking.Class, bool) {
	return o.desk.Classify(classOf(c), c.Group, c.Onward)
}

// classOf reads the class of a call; one out of range is the last.
func classOf(c *portage.Call) booking.Class {
	return booking.Class(min(c.Class, booking.NumClasses-1))
}

// newBooking returns the call as the desk takes it.
func newBooking(c *portage.Call, deadline clock.Millis) *booking.Call {
	b := booking.NewCall(classOf(c), c.Group, c.Caller, deadline)
	b.SetOrigin(c.Origin)
	b.SetUsefulUntil(deadline - clock.Millis(c.TimeLeftMS-c.UsefulMS))
	if c.Onward {
		b.SetNested()
	}
	if c.Ticket != "" {
		b.SetNonIdempotent()
	}
	if c.PatienceMS > 0 {
		b.SetMaxWait(clock.Millis(c.PatienceMS))
	}
	return b
}

// queued waits for the verdict on a queued call, while it can still end in
// time. The refusal of one that cannot then reaches the entry before the
// deadline, and is not taken for a lost answer.
func (o *owner) queued(ctx context.Context, b *booking.Call) booking.Verdict {
	ctx, cancel := withDeadline(ctx, o.clock, b.LatestStart())
	defer cancel()
	select {
	case v := <-b.Decided():
		return v
	case <-ctx.Done():
	}
	if o.desk.Cancel(b) {
		return booking.VerdictExpired
	}
	return <-b.Decided()
}

// detach returns a context that ends only when the peer cancels the request,
// not when its connection is lost.
func detach(ctx context.Context) context.Context {
	out, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), portage.ErrCancelled) {
			cancel(portage.ErrCancelled)
		}
	})
	return out
}

// withDeadline limits ctx to a point of the node's clock.
func withDeadline(ctx context.Context, c clock.Clock, deadline clock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (deadline - c.Now()).Duration())
}
