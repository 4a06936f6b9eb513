package depot

import (
	"encoding/json"
	"net/http"

	"cuminhollow.example/booking"
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
)

// maxOutcomeWait is the maximum time that an outcome query waits for work in
// progress, in milliseconds.
const maxOutcomeWait = 2 * clock.Second

// TicketPath is the path of tickets. A POST with HeaderKind reserves a ticket; a
// GET with HeaderKind and HeaderTicket returns the outcome of a ticket.
const TicketPath = "/cuminhollow/tickets"

// sendToTicketOwner sends a call with a ticket to the owner of the ticket, and
// to no other.
func (s *sender) sendToTicketOwner(o *outgoingCall) *portage.Answer {
	address, ok := s.addressOf(o.service, o.ticket.VM())
	if !ok {
		return unknownAnswer(reasonNoVM)
	}
	ctx, cancel := withDeadline(o.scope.ctx, s.clock, o.scope.deadline)
	defer cancel()
	p := s.peers.get(o.ticket.VM(), address)
	link, err := p.connect(ctx)
	if err != nil {
		return unknownAnswer(reasonUnreachable)
	}
	c := o.call
	c.Ticket = o.ticket.String()
	grant := o.scope.account.Grant()
	c.Grant = grant.Size()
	a, _, err := s.sendUntilRecalled(ctx, link, &c, o)
	if err != nil {
		return unknownAnswer(reasonAnswerLost)
	}
	grant.Return(a.Unspent)
	return a
}

// addressOf returns the address of a VM of a service.
func (s *sender) addressOf(service, vm string) (string, bool) {
	return s.router.Address(service, vm)
}

// serveTickets handles TicketPath.
func (e *entry) serveTickets(w http.ResponseWriter, q *http.Request) {
	name := q.Header.Get(HeaderKind)
	p := e.store.Snapshot().Policy(name)
	if p == nil {
		e.reject(w, name, nil, reasonUnknownKind)
		return
	}
	switch q.Method {
	case http.MethodPost:
		e.reserveTicket(w, q, name, p.Service(), booking.ClassOf(p.Protected(), p.Rank()))
	case http.MethodGet:
		e.serveOutcome(w, q, name, p.Service())
	default:
		w.Header().Set("Allow", "GET, POST")
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// reserveTicket gives the caller a ticket without running anything.
func (e *entry) reserveTicket(w http.ResponseWriter, q *http.Request, kind, service string, class booking.Class) {
	if e.leaving.Load() {
		e.reject(w, kind, nil, reasonLeaving)
		return
	}
	ticket, reason := e.sender.reserveTicket(q, service, class)
	if reason != "" {
		e.reject(w, kind, nil, reason)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderTicket, ticket.String())
	_ = json.NewEncoder(w).Encode(map[string]string{"ticket": ticket.String()})
}

// reserveTicket returns a new ticket of a VM of the service, or the reason why
// there is none.
func (s *sender) reserveTicket(q *http.Request, service string, class booking.Class) (claim.Ticket, string) {
	var excluded []string
	for range 3 {
		pick, err := s.router.Pick(s.clock.Now(), dispatch.Request{Service: service, Class: class, Exclude: excluded})
		if err != nil {
			return claim.Ticket{}, pickReason(err)
		}
		excluded = append(excluded, pick.VM.Name())
		p := s.peers.get(pick.VM.Name(), pick.VM.Address())
		if _, err := p.connect(q.Context()); err != nil {
			continue
		}
		if ticket := p.newTicket(); !ticket.IsZero() {
			return ticket, ""
		}
	}
	return claim.Ticket{}, reasonUnreachable
}

// serveOutcome asks the owner of a ticket for its outcome and writes it to the
// caller.
func (e *entry) serveOutcome(w http.ResponseWriter, q *http.Request, kind, service string) {
	ticket, err := claim.ParseTicket(q.Header.Get(HeaderTicket))
	if err != nil {
		e.reject(w, kind, nil, reasonBadTicket)
		return
	}
	o := &outgoingCall{scope: &requestScope{}, ticket: ticket}
	p := e.store.Snapshot().Policy(kind)
	a := e.sender.queryTicket(q, service, ticket)
	e.metrics.recordCall(kind, a.Outcome, a.Reason)
	e.writeAnswer(w, o, p, a)
}

// queryTicket asks the owner of a ticket for its outcome. The owner waits for
// work in progress.
func (s *sender) queryTicket(q *http.Request, service string, ticket claim.Ticket) *portage.Answer {
	address, ok := s.addressOf(service, ticket.VM())
	if !ok {
		return unknownAnswer(reasonNoVM)
	}
	ctx, cancel := withDeadline(q.Context(), s.clock, s.clock.Now()+maxOutcomeWait)
	defer cancel()
	p := s.peers.get(ticket.VM(), address)
	link, err := p.connect(ctx)
	if err != nil {
		return unknownAnswer(reasonUnreachable)
	}
	r, err := link.Do(ctx, &portage.Query{Ticket: ticket.String(), TimeLeftMS: int64(maxOutcomeWait / 2)})
	if err != nil {
		return unknownAnswer(reasonAnswerLost)
	}
	a, ok := r.(*portage.Answer)
	if !ok || !isIntact(a) {
		return unknownAnswer(reasonDamaged)
	}
	return a
}
