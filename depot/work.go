package depot

import (
	"context"
	"math/rand/v2"
	"net/http"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// IncomingCall is a call that an adapter takes from a caller or from the VM's
// own upstream.
type IncomingCall struct {
	// ID identifies the call; the upstream gets it too.
	ID     string
	Policy *record.Policy
	// Caller is the identity by which callers share a class fairly.
	Caller string
	// TimeLeft is how long the caller waits, in milliseconds.
	TimeLeft clock.Millis
	// Nested marks a call that the VM's own upstream makes while it runs another
	// call.
	Nested bool
	Method string
	// Path is the path with the query.
	Path   string
	Header []portage.Field
	Body   []byte
}

// Dispatcher sends the calls that an adapter takes to the VMs that run them. It
// is safe for concurrent use.
type Dispatcher interface {
	// Dispatch sends the call to a VM that runs it and returns the answer. The
	// context ends when the caller no longer waits.
	Dispatch(ctx context.Context, c *IncomingCall) *portage.Answer
	// ReadBody reads the body of a request, up to a limit in bytes, as far as the
	// memory for bodies allows. When that fails, it returns the reason for rejecting
	// the request. Release the body after Dispatch.
	ReadBody(w http.ResponseWriter, q *http.Request, limit int64) (*Body, string)
	// RecordRejection logs and counts a call that the adapter rejected itself,
	// with the HTTP status and the reason that the caller got.
	RecordRejection(id string, status int, reason string)
	// Configuration returns the current routes; nil before there are any.
	Configuration() *record.Configuration
	// Leaving reports whether the node is stopping or drained; its callers'
	// connections should then not be kept alive.
	Leaving() bool
	// TakesCalls reports whether the node still takes calls of a policy. In the later
	// part of a planned stop it only takes nested calls, while its upstream runs what
	// makes them.
	TakesCalls(p *record.Policy) bool
	// Ready reports whether the node has routes and is not leaving.
	Ready() bool
}

// Dispatch implements Dispatcher.
func (n *Node) Dispatch(ctx context.Context, c *IncomingCall) *portage.Answer {
	n.entry.inFlight.Add(1)
	defer n.entry.inFlight.Add(-1)
	began := n.clock.Now()
	ctx, cancel := n.entry.stop.callContext(ctx)
	defer cancel()
	o := n.entry.prepareCall(ctx, c)
	a := n.entry.sender.send(o)
	n.decisions.answered(o, a, n.clock.Now()-began, n.configurationVersion())
	n.metrics.recordCall(c.Policy.Name(), a.Outcome, a.Reason)
	return a
}

// ReadBody implements Dispatcher.
func (n *Node) ReadBody(w http.ResponseWriter, q *http.Request, limit int64) (*Body, string) {
	return n.entry.bodies.Read(w, q, limit)
}

// RecordRejection implements Dispatcher.
func (n *Node) RecordRejection(id string, status int, reason string) {
	n.decisions.rejectedAtEntry(id, status, reason, n.configurationVersion())
	n.metrics.recordCall("", portage.OutcomeNotRun, reason)
}

// Configuration implements Dispatcher.
func (n *Node) Configuration() *record.Configuration { return n.routes.Load() }

// Leaving implements Dispatcher.
func (n *Node) Leaving() bool { return n.stopping.Load() || n.owner.leaving.Load() }

// TakesCalls implements Dispatcher.
func (n *Node) TakesCalls(p *record.Policy) bool {
	return !n.closed.Load() || n.owner.inFlight.Load() > 0 && n.entry.sender.isNested(p.Name())
}

// Ready implements Dispatcher.
func (n *Node) Ready() bool { return n.ready.Load() && !n.Leaving() }

// prepareCall returns the call that is sent to owners for c. Nested calls
// come before all others: when one fails, the work already done by the run that
// made it is lost.
func (e *entry) prepareCall(ctx context.Context, c *IncomingCall) *outgoingCall {
	p := c.Policy
	class := booking.ClassOf(p.Protected() || c.Nested, p.Rank())
	now := e.clock.Now()
	r := &requestScope{
		ctx:       ctx,
		requestID: c.ID,
		class:     class,
		group:     p.Name(),
		caller:    c.Caller,
		began:     now,
		deadline:  e.stop.limit(now + c.TimeLeft),
		account:   ledger.NewAccount(p.ExtraTries()),
	}
	return newOutgoingCall(r, p, p.ServiceAt(rand.Float64()), portage.Call{
		Origin: e.service,
		Method: c.Method,
		Path:   c.Path,
		Header: c.Header,
		Body:   c.Body,
	})
}
