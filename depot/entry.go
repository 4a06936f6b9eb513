package depot

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"cuminhollow.example/booking"
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
	"github.com/google/uuid"
)

// maxCallerLength is the longest caller identity, in bytes.
const maxCallerLength = 64

// entry takes calls over HTTP, from outside callers and from the VM's own
// upstream.
type entry struct {
	clock   clock.Clock
	store   *record.Store
	sender  *sender
	runs    *runTable
	metrics *metrics
	routes  []Route
	// identitySource is identityHeader or identityAddress.
	identitySource string
	// service is the service of the node's VM.
	service string
	leaving atomic.Bool
	stop    *entryStop
	bodies  *BodyReader
	// inFlight counts the calls that are not answered yet.
	inFlight atomic.Int64
}

// callerHandler handles the calls of outside callers.
func (e *entry) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { e.serve(w, q, e.rootScope, false) })
}

// nestedHandler handles the calls that the VM's own upstream makes.
func (e *entry) nestedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { e.serve(w, q, e.nestedScope, true) })
}

// scopeResolver returns the scope that a call belongs to, or the reason for
// rejecting the call.
type scopeResolver func(q *http.Request, p *record.Policy) (*requestScope, string)

func (e *entry) serve(w http.ResponseWriter, q *http.Request, resolve scopeResolver, nested bool) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	name := e.kindOf(q)
	policy := e.store.Snapshot().Policy(name)
	r, reason := e.resolveScope(q, policy, resolve)
	if reason != "" {
		e.reject(w, name, policy, reason)
		return
	}
	body, reason := e.bodies.Read(w, q, portage.MaxBody)
	if reason != "" {
		e.reject(w, name, policy, reason)
		return
	}
	defer body.Release()
	ctx, cancel := e.stop.callContext(r.ctx)
	defer cancel()
	detach := context.AfterFunc(q.Context(), cancel)
	defer detach()
	scoped := *r
	scoped.ctx = ctx
	o := newOutgoingCall(&scoped, policy, policy.Service(), portage.Call{
		Origin: e.service,
		Method: q.Method,
		Path:   q.URL.RequestURI(),
		Header: EndToEndFields(q.Header),
		Body:   body.Bytes(),
	})
	o.call.Onward = nested
	a := e.forward(q, o)
	e.metrics.recordCall(name, a.Outcome, a.Reason)
	e.writeAnswer(w, o, policy, a)
}

// concurrent reports whether a request may run beside an earlier one on its
// connection: whether its kind of work is idempotent.
func (e *entry) concurrent(q *http.Request) bool {
	p := e.store.Snapshot().Policy(e.kindOf(q))
	return p != nil && p.Idempotent()
}

// isFailure reports whether an answer is a failure for the caller: the call was
// not answered by the upstream, or with a server error (5xx). When a nested call
// fails, the run that made it is likely to fail too.
func isFailure(a *portage.Answer) bool {
	return a.Outcome != portage.OutcomeAnswered || a.Status >= http.StatusInternalServerError
}

// resolveScope returns the scope of a call, with its deadline limited by the
// caller's, or the reason for rejecting the call.
func (e *entry) resolveScope(q *http.Request, p *record.Policy, resolve scopeResolver) (*requestScope, string) {
	switch {
	case p == nil:
		return nil, reasonUnknownKind
	case p.Retired():
		return nil, reasonRetiredKind
	}
	r, reason := resolve(q, p)
	if reason != "" {
		return nil, reason
	}
	left, ok := timeLeft(q)
	if !ok {
		return nil, reasonBadTimeLeft
	}
	if left > 0 {
		r.deadline = min(r.deadline, e.clock.Now()+left)
	}
	r.deadline = e.stop.limit(r.deadline)
	return r, ""
}

// timeLeft returns the time that a caller allows for a call, in milliseconds, or
// 0 when it sets no limit. It reports false when the header is invalid.
func timeLeft(q *http.Request) (clock.Millis, bool) {
	text := q.Header.Get(HeaderTimeLeft)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 {
		return 0, false
	}
	return min(clock.Millis(n), record.MaxTarget), true
}

// rootScope returns the scope of an outside caller's request.
func (e *entry) rootScope(q *http.Request, p *record.Policy) (*requestScope, string) {
	if e.leaving.Load() {
		return nil, reasonLeaving
	}
	now := e.clock.Now()
	r := &requestScope{
		ctx:       q.Context(),
		requestID: uuid.NewString(),
		class:     booking.ClassOf(p.Protected(), p.Rank()),
		group:     p.Name(),
		caller:    e.callerIdentity(q),
		began:     now,
		deadline:  now + p.Target(),
		account:   ledger.NewAccount(p.ExtraTries()),
	}
	return r, ""
}

// nestedScope returns the scope of a call that the upstream makes, which has
// the request, class and retries of the run that made it. A nested call that
// does not name that run gets the least urgent class and no retries. One that
// names a run that has ended is rejected, since nobody waits for its answer.
func (e *entry) nestedScope(q *http.Request, p *record.Policy) (*requestScope, string) {
	now := e.clock.Now()
	id := q.Header.Get(HeaderRun)
	if id == "" {
		r := &requestScope{
			ctx:       q.Context(),
			requestID: uuid.NewString(),
			class:     booking.ClassOf(false, record.MaxRank),
			group:     p.Name(),
			began:     now,
			deadline:  now + p.Target(),
			account:   ledger.NewAccount(0),
		}
		return r, ""
	}
	parent := e.runs.find(id)
	if parent == nil {
		return nil, reasonUnknownRun
	}
	r := *parent
	r.began = now
	r.deadline = min(r.deadline, now+p.Target())
	return &r, ""
}

// callerIdentity returns the identity by which callers share a class fairly.
func (e *entry) callerIdentity(q *http.Request) string {
	if e.identitySource == identityHeader {
		name := q.Header.Get(HeaderCaller)
		return name[:min(len(name), maxCallerLength)]
	}
	host, _, err := net.SplitHostPort(q.RemoteAddr)
	if err != nil {
		return q.RemoteAddr
	}
	return host
}

// kindOf returns the kind of work of a request, from its header or else from the
// routes; empty when neither names one.
func (e *entry) kindOf(q *http.Request) string {
	if name := q.Header.Get(HeaderKind); name != "" {
		return name
	}
	for _, r := range e.routes {
		if r.Method == q.Method && strings.HasPrefix(q.URL.Path, r.Prefix) {
			return r.Kind
		}
	}
	return ""
}

// forward sends the call to an owner. Non-idempotent work that came with a
// ticket goes to the owner of the ticket.
func (e *entry) forward(q *http.Request, o *outgoingCall) *portage.Answer {
	text := q.Header.Get(HeaderTicket)
	if text == "" || o.idempotent {
		return e.sender.send(o)
	}
	ticket, err := claim.ParseTicket(text)
	if err != nil {
		return notRunAnswer(reasonBadTicket, 0)
	}
	o.ticket = ticket
	return e.sender.sendToTicketOwner(o)
}

func (e *entry) reject(w http.ResponseWriter, kind string, p *record.Policy, reason string) {
	e.metrics.recordCall(kind, portage.OutcomeNotRun, reason)
	out := problem{
		Status:  HTTPStatus(portage.OutcomeNotRun, reason),
		Outcome: portage.OutcomeNotRun.String(),
		Reason:  reason,
		Kind:    kind,
	}
	out.setRank(p)
	if reason == reasonLeaving {
		w.Header().Set("Connection", "close")
	}
	out.write(w)
}

func (p *problem) setRank(policy *record.Policy) {
	if policy == nil {
		return
	}
	rank := policy.Rank()
	p.Rank = &rank
}

// writeAnswer writes the upstream's answer to the caller, or a problem document
// that gives the outcome and its reason.
func (e *entry) writeAnswer(w http.ResponseWriter, o *outgoingCall, p *record.Policy, a *portage.Answer) {
	h := w.Header()
	h.Set(HeaderRequest, o.scope.requestID)
	if !o.ticket.IsZero() {
		h.Set(HeaderTicket, o.ticket.String())
	}
	if a.Outcome == portage.OutcomeAnswered {
		addFields(h, a.Header)
		h.Set(HeaderOutcome, a.Outcome.String())
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body)
		return
	}
	out := problem{
		Status:  HTTPStatus(a.Outcome, a.Reason),
		Outcome: a.Outcome.String(),
		Reason:  a.Reason,
		Kind:    p.Name(),
		Request: o.scope.requestID,
		Ticket:  o.ticket.String(),
	}
	out.setRank(p)
	out.write(w)
}
