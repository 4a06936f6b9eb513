package depot

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"cuminhollow.example/receipt"
)

const (
	// ticketRetryDelay is the first delay before a call with a ticket is sent
	// again after its connection was lost. It doubles up to
	// maxTicketRetryDelay; each delay is jittered.
	ticketRetryDelay    = 10 * time.Millisecond
	maxTicketRetryDelay = 200 * time.Millisecond
	// maxStaleConnections is how many times a call is sent again because its
	// connection closed before any byte of the call was written.
	maxStaleConnections = 3
)

// action is what follows an attempt.
type action uint8

const (
	// actionReturn returns the answer to the caller.
	actionReturn action = iota
	// actionFailover sends the call to another owner. No upstream was reached,
	// so the failover uses none of the request's retries.
	actionFailover
	// actionRetry sends the call to another owner if the request has a retry
	// left.
	actionRetry
)

// sendTo sends the call to the picked VM, records what the answer says about
// that VM, and returns what follows.
func (s *sender) sendTo(o *outgoingCall, pick dispatch.Pick) (*portage.Answer, action) {
	p := s.peers.get(pick.VM.Name(), pick.VM.Address())
	ctx, cancel := withDeadline(o.scope.ctx, s.clock, o.scope.deadline+s.answerGrace)
	defer cancel()
	pick.Target.Begin()
	began := time.Now()
	a, sent, err := s.callOwner(ctx, o, p)
	now := s.clock.Now()
	o.call.Repeat = o.call.Repeat || err == nil && a.Reached || err != nil && sent
	switch {
	case err == nil:
		s.updateTarget(now, pick.Target, a, millisSince(began))
		if a.Outcome == portage.OutcomeAnswered {
			s.learnNested(o.call.Kind, a.Onward)
		}
		if a.Onward {
			s.controller.ObserveDownstreamOverload(now, float64(a.Strain)/overloadScale)
		}
		if s.rejectEarly {
			pick.Target.SetLevel(now, admissionLevel(a))
		}
		pick.Target.SetEstimate(now, o.call.Kind, booking.Estimate{
			Wait:        float64(a.WaitMS),
			MeanRunTime: float64(a.RunMS),
			Load:        float64(a.Load) / loadScale,
		})
		return s.decideAction(o, pick, a)
	case ctx.Err() != nil && o.scope.ctx.Err() != nil:
		pick.Target.EndCancelled()
	default:
		pick.Target.EndFailed(now)
	}
	switch {
	case !sent:
		return notRunAnswer(reasonUnreachable, 0), actionFailover
	case o.idempotent && ctx.Err() == nil:
		return unknownAnswer(reasonAnswerLost), actionRetry
	default:
		return unknownAnswer(reasonAnswerLost), actionReturn
	}
}

// updateTarget records an answer in the statistics of its VM. A rejection by the
// node says nothing about the latency and errors of its upstream, and changes
// neither.
func (s *sender) updateTarget(now clock.Millis, t *dispatch.Target, a *portage.Answer, took float64) {
	if a.Outcome == portage.OutcomeNotRun && !a.Reached {
		t.EndRejected()
		return
	}
	t.End(now, took, isFailure(a))
}

// decideAction returns what follows an answer of the owner: a call that did not
// run may go to another owner, and so may idempotent work that failed. It also
// marks the VM as leaving when the answer says so.
func (s *sender) decideAction(o *outgoingCall, pick dispatch.Pick, a *portage.Answer) (*portage.Answer, action) {
	if a.Outcome == portage.OutcomeNotRun {
		if a.Reason == reasonLeaving {
			pick.Target.SetLeaving(s.clock.Now())
		}
		return a, actionForReason(a.Reason)
	}
	failed := a.Outcome == portage.OutcomeUnknown || s.perHopRetries && a.Status >= http.StatusInternalServerError
	if failed && o.idempotent {
		return a, actionRetry
	}
	return a, actionReturn
}

// actionForReason returns what follows when an owner rejected a call for reason.
func actionForReason(reason string) action {
	switch reason {
	case reasonExpired, reasonBadTicket, reasonNoTriesLeft:
		return actionReturn
	case reasonBusy, reasonLeaving, reasonStarting, reasonMemory:
		return actionFailover
	default:
		return actionRetry
	}
}

func millisSince(began time.Time) float64 {
	return float64(time.Since(began)) / float64(time.Millisecond)
}

// callOwner sends the call to one owner and waits for its answer. The second
// result reports whether any part of the call may have reached the owner.
func (s *sender) callOwner(ctx context.Context, o *outgoingCall, p *peer) (*portage.Answer, bool, error) {
	link, err := p.connect(ctx)
	if err != nil {
		return nil, false, err
	}
	c := o.call
	if !o.idempotent {
		o.ticket = p.newTicket()
		if o.ticket.IsZero() {
			return notRunAnswer(reasonOverload, 0), false, nil
		}
		c.Ticket = o.ticket.String()
	}
	grant := o.scope.account.Grant()
	c.Grant = grant.Size()
	a, sent, err := s.sendUntilRecalled(ctx, link, &c, o)
	switch {
	case err == nil:
		grant.Return(a.Unspent)
	case !sent:
		grant.Return(grant.Size())
	}
	return a, sent, err
}

// sendUntilRecalled is sendUntilAnswered until a planned stop recalls what waits. A
// call with a ticket is withdrawn then if it has not begun; otherwise its outcome is
// awaited further. One without a ticket is not withdrawn, since that would end a run in
// progress.
func (s *sender) sendUntilRecalled(ctx context.Context, link *portage.Link, c *portage.Call, o *outgoingCall) (*portage.Answer, bool, error) {
	if c.Ticket == "" {
		return s.sendUntilAnswered(ctx, link, c, o)
	}
	recallable, cancel := s.stop.recallContext(ctx)
	defer cancel()
	a, sent, err := s.sendUntilAnswered(recallable, link, c, o)
	if err == nil || !sent || ctx.Err() != nil {
		return a, sent, err
	}
	r, err := link.Do(ctx, &portage.Query{Ticket: c.Ticket, TimeLeftMS: int64(o.scope.deadline + s.answerGrace - s.clock.Now())})
	if err != nil {
		return nil, true, err
	}
	a, ok := r.(*portage.Answer)
	if !ok || !isIntact(a) {
		return nil, true, &portage.Error{Op: "check outcome", Kind: portage.KindFrame}
	}
	return a, true, nil
}

// sendUntilAnswered sends the call to one owner. When the connection is lost, a
// call with a ticket is sent to the same owner again over a new connection,
// until there is an answer or ctx ends; the ticket keeps the work from running
// twice. The second result reports whether any part of the call may have
// reached the owner.
func (s *sender) sendUntilAnswered(ctx context.Context, link *portage.Link, c *portage.Call, o *outgoingCall) (*portage.Answer, bool, error) {
	sent, stale := false, 0
	for pause := ticketRetryDelay; ; pause = min(2*pause, maxTicketRetryDelay) {
		now := s.clock.Now()
		c.TimeLeftMS = int64(o.scope.deadline - now)
		c.UsefulMS = int64(max(0, o.usefulUntil-now))
		r, err := link.Do(ctx, c)
		if err == nil {
			a, err := verifyAnswer(c, r)
			return a, true, err
		}
		kind := linkErrorKind(err)
		if kind == portage.KindClosed && stale < maxStaleConnections {
			// No byte was written, so sending it again uses no retry.
			stale++
			continue
		}
		sent = sent || kind != portage.KindNotSent && kind != portage.KindClosed
		if !sent || c.Ticket == "" || !clock.Sleep(ctx, rand.N(2*pause)) {
			return nil, sent, err
		}
		s.metrics.recordTicketRetry()
	}
}

// linkErrorKind returns the kind of a *portage.Error in err's chain, or 0.
func linkErrorKind(err error) portage.ErrorKind {
	var e *portage.Error
	if !errors.As(err, &e) {
		return 0
	}
	return e.Kind
}

// verifyAnswer checks that r answers the call and is intact.
func verifyAnswer(c *portage.Call, r portage.Response) (*portage.Answer, error) {
	a, ok := r.(*portage.Answer)
	if !ok || a.Request != c.Request || !isIntact(a) {
		return nil, &portage.Error{Op: "check answer", Kind: portage.KindFrame}
	}
	return a, nil
}

// isIntact reports whether an upstream's answer can be passed on. A node of an earlier
// build may take a broken one for an answer.
func isIntact(a *portage.Answer) bool {
	if a.Outcome != portage.OutcomeAnswered {
		return true
	}
	broken := slices.ContainsFunc(a.Header, func(f portage.Field) bool { return !receipt.IsName(f.Name) })
	return !broken && receipt.IsFinal(a.Status) && portage.Checksum(a.Body) == a.Sum
}
