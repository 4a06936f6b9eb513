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
	// so that its outcome still becomes known, in milliseconds.
	outcomeGrace = 10 * clock.Second
	// answerTime is how long after its deadline the answer to idempotent work is still
	// awaited, in milliseconds: the upstream may end it at the deadline and say so.
	answerTime clock.Millis = 120
	// answerOverhead is the memory of a stored answer besides its body, in bytes.
	answerOverhead = 512
	// upstreamRetryDelay is the first delay before a call that the upstream
	// rejected is sent to it again, in milliseconds. It doubles up to
	// maxUpstreamRetryDelay.
	upstreamRetryDelay    clock.Millis = 4
	maxUpstreamRetryDelay clock.Millis = 32
	// loadScale and overloadScale convert shares from 0 to 1 to the thousandths
	// in which answers carry the load and the downstream overload.
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
	// retryLimiter limits the rate of the retries that may reach the upstream.
	retryLimiter *ledger.RetryLimiter
	// leaving is set once the node rejects new calls.
	leaving atomic.Bool
	// ready is set once the node serves the nested calls of the upstream. A run that
	// makes one before would wait for it.
	ready *atomic.Bool
	// memory is that for the bodies of the calls that are queued or running, and
	// answerMemory that for answers of the upstream that are being read.
	memory, answerMemory *ledger.Bytes
	// inFlight counts these calls.
	inFlight atomic.Int64
}

func answerSize(a *portage.Answer) int { return len(a.Body) + answerOverhead }

// handleCall answers a Call of a peer.
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

// completeAnswer returns a copy of an answer, which several requests may share,
// with the request's id and the present state of the node added.
func (o *owner) completeAnswer(c *portage.Call, a *portage.Answer) *portage.Answer {
	out := *a
	out.Request = c.Request
	now := o.clock.Now()
	if o.ready.Load() {
		out.Level = uint8(o.controller.Level(now))
	}
	class, _ := o.effectiveClass(c)
	estimate := o.controller.Estimate(now, class, c.Kind)
	out.WaitMS, out.RunMS = int64(estimate.Wait), int64(estimate.MeanRunTime)
	out.Load = int(estimate.Load * loadScale)
	return &out
}

func notRunAnswer(reason string, unspent int) *portage.Answer {
	return &portage.Answer{Outcome: portage.OutcomeNotRun, Reason: reason, Unspent: unspent}
}

func unknownAnswer(reason string) *portage.Answer {
	return &portage.Answer{Outcome: portage.OutcomeUnknown, Reason: reason}
}

// runOnce runs the work of a ticket unless it has run or was rejected before.
func (o *owner) runOnce(ctx context.Context, c *portage.Call, ticket claim.Ticket, deadline clock.Millis) *portage.Answer {
	reply := o.completions.Claim(ticket)
	if _, first := reply.(claim.Run[*portage.Answer]); !first {
		return o.awaitOutcome(ctx, ticket, reply, c.Grant, deadline)
	}
	// It has no effect once the outcome is recorded below. After a panic, the work
	// may have run.
	defer o.completions.MarkLost(ticket)
	// The work goes on when the connection is lost. Only a cancellation that the
	// peer sent ends it, and only while it waits for a slot.
	a := o.admit(detachFromConnection(ctx), c, deadline)
	switch a.Outcome {
	case portage.OutcomeAnswered:
		o.completions.Finish(ticket, a)
	case portage.OutcomeNotRun:
		o.completions.Refuse(ticket)
	case portage.OutcomeUnknown:
		o.completions.MarkLost(ticket)
	}
	return a
}

// handleQuery answers a peer's query for the outcome of a ticket.
func (o *owner) handleQuery(ctx context.Context, q *portage.Query) *portage.Answer {
	ticket, err := claim.ParseTicket(q.Ticket)
	if err != nil {
		return notRunAnswer(reasonBadTicket, 0)
	}
	deadline := o.clock.Now() + clock.Millis(q.TimeLeftMS)
	return o.awaitOutcome(ctx, ticket, o.completions.Resolve(ticket), 0, deadline)
}

// awaitOutcome turns the completion record of a ticket into an answer. For work
// in progress, it waits until the work ends or the deadline passes.
func (o *owner) awaitOutcome(ctx context.Context, ticket claim.Ticket, reply claim.Reply[*portage.Answer], unspent int, deadline clock.Millis) *portage.Answer {
	for {
		switch r := reply.(type) {
		case claim.Done[*portage.Answer]:
			return r.Answer
		case claim.NotRun[*portage.Answer]:
			return notRunAnswer(reasonRefused, unspent)
		case claim.Wait[*portage.Answer]:
			if !o.waitForCompletion(ctx, r.Completed, deadline) {
				return unknownAnswer(reasonStillRunning)
			}
			reply = o.completions.Resolve(ticket)
		default:
			return unknownAnswer(reasonForgotten)
		}
	}
}

// waitForCompletion reports whether completed was closed before the deadline and
// the end of ctx.
func (o *owner) waitForCompletion(ctx context.Context, completed <-chan struct{}, deadline clock.Millis) bool {
	ctx, cancel := withDeadline(ctx, o.clock, deadline)
	defer cancel()
	select {
	case <-completed:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit waits for a slot and runs the call.
func (o *owner) admit(ctx context.Context, c *portage.Call, deadline clock.Millis) *portage.Answer {
	o.inFlight.Add(1)
	defer o.inFlight.Add(-1)
	if o.leaving.Load() {
		return o.reject(c, reasonLeaving, deadline)
	}
	if !o.ready.Load() {
		return o.reject(c, reasonStarting, deadline)
	}
	if !o.memory.Reserve(len(c.Body)) {
		return o.reject(c, reasonMemory, deadline)
	}
	defer o.memory.Release(len(c.Body))
	arrived := o.clock.Now()
	ac := newAdmissionCall(c, deadline)
	v := o.controller.Admit(arrived, ac)
	if v == booking.VerdictQueued {
		v = o.waitForVerdict(ctx, ac)
	}
	o.metrics.recordVerdict(v)
	var a *portage.Answer
	switch v {
	case booking.VerdictStart:
		a = o.runAdmitted(ctx, c, ac, arrived, deadline)
	case booking.VerdictExpired:
		a = o.reject(c, reasonExpired, deadline)
	case booking.VerdictDownstreamOverload:
		a = o.reject(c, reasonDownstreamOverload, deadline)
	case booking.VerdictBusy:
		a = o.reject(c, reasonBusy, deadline)
	case booking.VerdictClosed:
		a = o.reject(c, reasonLeaving, deadline)
	case booking.VerdictShed, booking.VerdictQueued:
		a = o.reject(c, reasonOverload, deadline)
	}
	a.Onward = ac.Nested()
	a.Strain = int(o.controller.Overload(o.clock.Now(), ac) * overloadScale)
	return a
}

// reject logs the rejection of a call and returns an answer which says that the
// call did not run and will not.
func (o *owner) reject(c *portage.Call, reason string, deadline clock.Millis) *portage.Answer {
	now := o.clock.Now()
	o.decisions.rejectedByOwner(c, reason, now, deadline, o.controller.Stats(), o.controller.KindStats(now, c.Group))
	return notRunAnswer(reason, c.Grant)
}

// effectiveClass returns the priority class in which a call is served, and
// whether it is a nested call.
func (o *owner) effectiveClass(c *portage.Call) (booking.Class, bool) {
	return o.controller.Classify(callClass(c), c.Group, c.Onward)
}

// callClass returns the class that a call carries, or the last class when the
// value is out of range.
func callClass(c *portage.Call) booking.Class {
	return booking.Class(min(c.Class, booking.NumClasses-1))
}

// newAdmissionCall returns the call in the form that the admission controller
// takes.
func newAdmissionCall(c *portage.Call, deadline clock.Millis) *booking.Call {
	ac := booking.NewCall(callClass(c), c.Group, c.Caller, deadline)
	ac.SetOrigin(c.Origin)
	ac.SetUsefulUntil(deadline - clock.Millis(c.TimeLeftMS-c.UsefulMS))
	if c.Onward {
		ac.SetNested()
	}
	if c.Ticket != "" {
		ac.SetNonIdempotent()
	}
	if c.PatienceMS > 0 {
		ac.SetMaxWait(clock.Millis(c.PatienceMS))
	}
	return ac
}

// waitForVerdict waits for the verdict on a queued call until the call could no
// longer end in time. It is rejected at that point, before its deadline, so that
// the entry gets the rejection in time and does not take it for a lost answer.
func (o *owner) waitForVerdict(ctx context.Context, ac *booking.Call) booking.Verdict {
	ctx, cancel := withDeadline(ctx, o.clock, ac.LatestStart())
	defer cancel()
	select {
	case v := <-ac.Decided():
		return v
	case <-ctx.Done():
	}
	if o.controller.Cancel(ac) {
		return booking.VerdictExpired
	}
	return <-ac.Decided()
}

// detachFromConnection returns a context that ends only when the peer cancels
// the request, not when its connection is lost.
func detachFromConnection(ctx context.Context) context.Context {
	out, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), portage.ErrCancelled) {
			cancel(portage.ErrCancelled)
		}
	})
	return out
}

// withDeadline returns a context that ends with ctx, or at a deadline on the
// node's clock.
func withDeadline(ctx context.Context, c clock.Clock, deadline clock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (deadline - c.Now()).Duration())
}
