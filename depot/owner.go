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
	upstreamRetryDelay    clock.Millis = 4
	maxUpstreamRetryDelay clock.Millis = 32
	// loadScale is the unit of a load in an answer, and strainScale that of a
	// strain.
	loadScale     = 1000
	overloadScale = 1000
)

// owner admits the calls of peers and runs them on the upstream.
type owner struct {
	decisions   *decisionLog
	clock       clock.Clock
	completions *claim.Table[*portage.Answer]
	controller  *booking.Controller
	upstream    Upstream
	runs        *runTable
	metrics     *metrics
	// repeats bounds what reaches the upstream again.
	retryLimiter *ledger.RetryLimiter
	leaving      atomic.Bool
	// closed is set while the upstream takes no new work.
	upstreamClosed atomic.Bool
	// inWork counts the calls that are queued or running.
	inFlight atomic.Int64
}

func answerSize(a *portage.Answer) int { return len(a.Body) + answerOverhead }

// call answers one Call of a peer.
func (o *owner) handleCall(ctx context.Context, c *portage.Call) *portage.Answer {
	deadline := o.clock.Now() + clock.Millis(c.TimeLeftMS)
	if portage.Checksum(c.Body) != c.Sum {
		return o.completeAnswer(c, notRunAnswer(reasonDamaged, c.Grant))
	}
	if c.Ticket == "" {
		return o.completeAnswer(c, o.admit(ctx, c, deadline))
	}
	ticket, err := claim.ParseTicket(c.Ticket)
	if err != nil {
		return o.completeAnswer(c, notRunAnswer(reasonBadTicket, c.Grant))
	}
	return o.completeAnswer(c, o.runOnce(ctx, c, ticket, deadline))
}

// reply completes an answer that may be shared: it copies it.
func (o *owner) completeAnswer(c *portage.Call, a *portage.Answer) *portage.Answer {
	out := *a
	out.Request = c.Request
	now := o.clock.Now()
	out.Level = uint8(o.controller.Level(now))
	class, _ := o.effectiveClass(c)
	view := o.controller.Estimate(now, class, c.Kind)
	out.WaitMS, out.RunMS = int64(view.Wait), int64(view.MeanRunTime)
	out.Load = int(view.Load * loadScale)
	return &out
}

func notRunAnswer(reason string, unspent int) *portage.Answer {
	return &portage.Answer{Outcome: portage.OutcomeNotRun, Reason: reason, Unspent: unspent}
}

func unknownAnswer(reason string) *portage.Answer {
	return &portage.Answer{Outcome: portage.OutcomeUnknown, Reason: reason}
}

// once runs the work of a ticket unless it ran or was refused before.
func (o *owner) runOnce(ctx context.Context, c *portage.Call, k claim.Ticket, deadline clock.Millis) *portage.Answer {
	reply := o.completions.Claim(k)
	if _, first := reply.(claim.Run[*portage.Answer]); !first {
		return o.awaitOutcome(ctx, k, reply, c.Grant, deadline)
	}
	// The connection may be lost while the work goes on: only a cancellation
	// that the peer sent ends it, and only while it waits.
	a := o.admit(detachFromConnection(ctx), c, deadline)
	switch a.Outcome {
	case portage.OutcomeAnswered:
		o.completions.Finish(k, a)
	case portage.OutcomeNotRun:
		o.completions.Refuse(k)
	case portage.OutcomeUnknown:
		o.completions.MarkLost(k)
	}
	return a
}

// query answers the question what became of a ticket.
func (o *owner) handleQuery(ctx context.Context, q *portage.Query) *portage.Answer {
	k, err := claim.ParseTicket(q.Ticket)
	if err != nil {
		return notRunAnswer(reasonBadTicket, 0)
	}
	deadline := o.clock.Now() + clock.Millis(q.TimeLeftMS)
	return o.awaitOutcome(ctx, k, o.completions.Resolve(k), 0, deadline)
}

// settled turns what the table knows of a ticket into an answer and waits, up
// to the deadline, for work that is in progress.
func (o *owner) awaitOutcome(ctx context.Context, k claim.Ticket, reply claim.Reply[*portage.Answer], grant int, deadline clock.Millis) *portage.Answer {
	for {
		switch r := reply.(type) {
		case claim.Done[*portage.Answer]:
			return r.Answer
		case claim.NotRun[*portage.Answer]:
			return notRunAnswer(reasonRefused, grant)
		case claim.Wait[*portage.Answer]:
			if !o.waitForCompletion(ctx, r.Completed, deadline) {
				return unknownAnswer(reasonStillRunning)
			}
			reply = o.completions.Resolve(k)
		default:
			return unknownAnswer(reasonForgotten)
		}
	}
}

func (o *owner) waitForCompletion(ctx context.Context, settled <-chan struct{}, deadline clock.Millis) bool {
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
	o.inFlight.Add(1)
	defer o.inFlight.Add(-1)
	if o.leaving.Load() || o.upstreamClosed.Load() {
		return o.refuse(c, reasonLeaving, deadline)
	}
	arrived := o.clock.Now()
	b := newAdmissionCall(c, deadline)
	v := o.controller.Admit(arrived, b)
	if v == booking.VerdictQueued {
		v = o.waitForVerdict(ctx, b)
	}
	o.metrics.recordVerdict(v)
	var a *portage.Answer
	switch v {
	case booking.VerdictStart:
		a = o.runAdmitted(ctx, c, b, arrived, deadline)
	case booking.VerdictExpired:
		a = o.refuse(c, reasonExpired, deadline)
	case booking.VerdictDownstreamOverload:
		a = o.refuse(c, reasonDownstreamOverload, deadline)
	case booking.VerdictBusy:
		a = o.refuse(c, reasonBusy, deadline)
	case booking.VerdictShed, booking.VerdictQueued:
		a = o.refuse(c, reasonOverload, deadline)
	}
	a.Onward = b.Nested()
	a.Strain = int(o.controller.Overload(o.clock.Now(), b) * overloadScale)
	return a
}

// refuse answers that a call did not run and will not.
func (o *owner) refuse(c *portage.Call, reason string, deadline clock.Millis) *portage.Answer {
	now := o.clock.Now()
	o.decisions.rejectedByOwner(c, reason, now, deadline, o.controller.Stats(), o.controller.KindStats(now, c.Group))
	return notRunAnswer(reason, c.Grant)
}

// place returns the class in which a call is served, and whether it is an onward
// call.
func (o *owner) effectiveClass(c *portage.Call) (booking.Class, bool) {
	return o.controller.Classify(callClass(c), c.Group, c.Onward)
}

// classOf reads the class of a call; one out of range is the last.
func callClass(c *portage.Call) booking.Class {
	return booking.Class(min(c.Class, booking.NumClasses-1))
}

// newBooking returns the call as the desk takes it.
func newAdmissionCall(c *portage.Call, deadline clock.Millis) *booking.Call {
	b := booking.NewCall(callClass(c), c.Group, c.Caller, deadline)
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
func (o *owner) waitForVerdict(ctx context.Context, b *booking.Call) booking.Verdict {
	ctx, cancel := withDeadline(ctx, o.clock, b.LatestStart())
	defer cancel()
	select {
	case v := <-b.Decided():
		return v
	case <-ctx.Done():
	}
	if o.controller.Cancel(b) {
		return booking.VerdictExpired
	}
	return <-b.Decided()
}

// detach returns a context that ends only when the peer cancels the request,
// not when its connection is lost.
func detachFromConnection(ctx context.Context) context.Context {
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
