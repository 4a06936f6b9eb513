package depot

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"cuminhollow.example/claim"
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

// order is a call on its way to an owner.
type order struct {
	run  *run
	call portage.Call
	// service runs the work.
	service    string
	idempotent bool
	// avoid names the VMs that were tried.
	avoid []string
	// ticket is that of the last attempt; zero for idempotent work.
	ticket claim.Ticket
	// tries counts the attempts; maxTries is that of the kind's record.
	tries    int
	maxTries int
}

// sender sends orders to owners and decides on retries.
type sender struct {
	clock   clock.Clock
	router  *dispatch.Router
	peers   *peers
	metrics *metrics
	// perHop makes each hop retry up to its record's tries without a common
	// bound. It is a baseline for measurements.
	perHop bool
	// early makes the node heed the admission levels of owners.
	early bool
}

// send carries out an order. It tries another owner only while that cannot run
// non-idempotent work twice and the account of the run pays for it.
func (s *sender) send(o *order) *portage.Answer {
	for {
		a, retry := s.try(o)
		if !retry || !s.mayRetry(o) {
			return a
		}
	}
}

// mayRetry pays for one more try.
func (s *sender) mayRetry(o *order) bool {
	if o.run.ctx.Err() != nil || s.clock.Now() >= o.run.deadline {
		return false
	}
	if s.perHop {
		o.avoid = nil
		return o.tries < o.maxTries
	}
	last := o.avoid[len(o.avoid)-1]
	if !s.router.Target(last).Retries().Retry() {
		return false
	}
	return o.run.account.Spend()
}

// try makes one attempt and reports whether another owner may be tried.
func (s *sender) try(o *order) (*portage.Answer, bool) {
	now := s.clock.Now()
	if now >= o.run.deadline {
		return notRun(reasonExpired, 0), false
	}
	pick, err := s.router.Pick(now, dispatch.Request{
		Service: o.service,
		Class:   o.run.class,
		Avoid:   o.avoid,
	})
	if err != nil {
		return notRun(pickReason(err), 0), false
	}
	name := pick.VM.Name()
	o.avoid = append(o.avoid, name)
	o.tries++
	if o.tries == 1 {
		pick.Target.Retries().Fresh()
	}
	return s.sendTo(o, pick)
}

func pickReason(err error) string {
	var e *dispatch.Error
	if errors.As(err, &e) && e.Kind == dispatch.KindOverload {
		return reasonOverload
	}
	return reasonNoVM
}

func (s *sender) sendTo(o *order, pick dispatch.Pick) (*portage.Answer, bool) {
	p := s.peers.get(pick.VM.Name(), pick.VM.Address())
	ctx, cancel := withDeadline(o.run.ctx, s.clock, o.run.deadline)
	defer cancel()
	pick.Target.Begin()
	began := time.Now()
	a, sent, err := s.exchange(ctx, o, p)
	now := s.clock.Now()
	switch {
	case err == nil:
		pick.Target.End(millisSince(began), a.Status >= http.StatusInternalServerError)
		if s.early {
			pick.Target.SetLevel(now, levelOf(a))
		}
		return s.judge(o, pick, a)
	case ctx.Err() != nil && o.run.ctx.Err() != nil:
		pick.Target.Abandon()
	default:
		pick.Target.Fail(now)
	}
	if !sent {
		return notRun(reasonUnreachable, 0), true
	}
	return unknown(reasonLost), o.idempotent && ctx.Err() == nil
}

// judge reads an answer of the owner: a call that did not run may go to
// another owner.
func (s *sender) judge(o *order, pick dispatch.Pick, a *portage.Answer) (*portage.Answer, bool) {
	if a.Outcome == portage.OutcomeNotRun && a.Reason == reasonLeaving {
		pick.Target.SetLeaving(s.clock.Now())
	}
	switch a.Outcome {
	case portage.OutcomeNotRun:
		return a, a.Reason != reasonExpired && a.Reason != reasonBadTicket
	case portage.OutcomeUnknown:
		return a, o.idempotent
	default:
		return a, s.perHop && o.idempotent && a.Status >= http.StatusInternalServerError
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
		c.TimeLeftMS = int64(o.run.deadline - s.clock.Now())
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
