package depot

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
)

const (
	// askPause is the first wait before a ticket is presented again, doubled
	// up to askPauseLimit, each with jitter.
	askPause      = 10 * time.Millisecond
	askPauseLimit = 200 * time.Millisecond
	// maxClosed is the number of connections that may end just before a call
	// is written to them.
	maxClosed = 3
)

// next says how an order goes on after an attempt.
type next uint8

const (
	// nextNone gives the answer to the caller.
	nextNone next = iota
	// nextMove sends the call to another owner; no upstream was reached, so that
	// this is no try.
	nextMove
	// nextRetry sends the call to another owner if a try is left.
	nextRetry
)

func (s *sender) sendTo(o *order, pick dispatch.Pick) (*portage.Answer, next) {
	p := s.peers.get(pick.VM.Name(), pick.VM.Address())
	ctx, cancel := withDeadline(o.run.ctx, s.clock, o.run.deadline+s.grace)
	defer cancel()
	pick.Target.Begin()
	began := time.Now()
	a, sent, err := s.exchange(ctx, o, p)
	now := s.clock.Now()
	o.call.Repeat = o.call.Repeat || err == nil && a.Reached || err != nil && sent
	switch {
	case err == nil:
		s.note(now, pick.Target, a, millisSince(began))
		if a.Onward {
			s.desk.ObserveDownstreamOverload(now, float64(a.Strain)/strainScale)
		}
		if s.early {
			pick.Target.SetLevel(now, levelOf(a))
		}
		pick.Target.SetEstimate(now, o.call.Kind, booking.Estimate{
			Wait: float64(a.WaitMS),
			MeanRunTime:  float64(a.RunMS),
			Load: float64(a.Load) / loadScale,
		})
		return s.judge(o, pick, a)
	case ctx.Err() != nil && o.run.ctx.Err() != nil:
		pick.Target.EndCancelled()
	default:
		pick.Target.EndFailed(now)
	}
	switch {
	case !sent:
		return notRun(reasonUnreachable, 0), nextMove
	case o.idempotent && ctx.Err() == nil:
		return unknown(reasonLost), nextRetry
	default:
		return unknown(reasonLost), nextNone
	}
}

// note learns from an answer: one of the upstream tells how it does, a refusal
// by its node does not.
func (s *sender) note(now clock.Millis, t *dispatch.Target, a *portage.Answer, span float64) {
	if a.Outcome == portage.OutcomeNotRun && !a.Reached {
		t.EndRefused()
		return
	}
	t.End(now, span, isFailure(a))
}

// judge reads an answer of the owner: a call that did not run may go to
// another owner, and idempotent work that failed too.
func (s *sender) judge(o *order, pick dispatch.Pick, a *portage.Answer) (*portage.Answer, next) {
	if a.Outcome == portage.OutcomeNotRun {
		if a.Reason == reasonLeaving {
			pick.Target.SetLeaving(s.clock.Now())
		}
		return a, nextAfter(a.Reason)
	}
	failed := a.Outcome == portage.OutcomeUnknown || s.perHop && a.Status >= http.StatusInternalServerError
	if failed && o.idempotent {
		return a, nextRetry
	}
	return a, nextNone
}

// nextAfter says how a call goes on that an owner refused for a reason.
func nextAfter(reason string) next {
	switch reason {
	case reasonExpired, reasonBadTicket, reasonTries:
		return nextNone
	case reasonBusy, reasonLeaving:
		return nextMove
	default:
		return nextRetry
	}
}

func millisSince(began time.Time) float64 {
	return float64(time.Since(began)) / float64(time.Millisecond)
}

// exchange sends the call to one owner and waits for its answer. It reports
// whether any of the call may have reached the owner.
func (s *sender) exchange(ctx context.Context, o *order, p *peer) (*portage.Answer, bool, error) {
	link, err := p.connect(ctx)
	if err != nil {
		return nil, false, err
	}
	c := o.call
	if !o.idempotent {
		o.ticket = p.ticket()
		if o.ticket.IsZero() {
			return notRun(reasonOverload, 0), false, nil
		}
		c.Ticket = o.ticket.String()
	}
	grant := o.run.account.Grant()
	c.Grant = grant.Size()
	a, sent, err := s.ask(ctx, link, &c, o)
	switch {
	case err == nil:
		grant.Return(a.Unspent)
	case !sent:
		grant.Return(grant.Size())
	}
	return a, sent, err
}

// ask sends the call and, for a ticket, presents it again to the same owner
// over new connections until there is an answer or ctx ends.
func (s *sender) ask(ctx context.Context, link *portage.Link, c *portage.Call, o *order) (*portage.Answer, bool, error) {
	sent, closed := false, 0
	for pause := askPause; ; pause = min(2*pause, askPauseLimit) {
		now := s.clock.Now()
		c.TimeLeftMS = int64(o.run.deadline - now)
		c.UsefulMS = int64(max(0, o.useful-now))
		r, err := link.Do(ctx, c)
		if err == nil {
			a, err := checked(c, r)
			return a, true, err
		}
		kind := kindOf(err)
		if kind == portage.KindClosed && closed < maxClosed {
			// No byte left: this is not a try, and spends none.
			closed++
			continue
		}
		sent = sent || kind != portage.KindNotSent && kind != portage.KindClosed
		if !sent || c.Ticket == "" || !clock.Sleep(ctx, rand.N(2*pause)) {
			return nil, sent, err
		}
		s.metrics.asked()
	}
}

// kindOf returns the kind of an error of a link; 0 for any other error.
func kindOf(err error) portage.ErrorKind {
	var e *portage.Error
	if !errors.As(err, &e) {
		return 0
	}
	return e.Kind
}

// checked makes sure that the answer is whole and belongs to the call.
func checked(c *portage.Call, r portage.Response) (*portage.Answer, error) {
	a, ok := r.(*portage.Answer)
	if !ok || a.Request != c.Request || portage.Checksum(a.Body) != a.Sum && a.Outcome == portage.OutcomeAnswered {
		return nil, &portage.Error{Op: "check answer", Kind: portage.KindFrame}
	}
	return a, nil
}
