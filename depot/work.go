package depot

import (
	"context"
	"math/rand/v2"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// Work is a call that an adapter takes from a caller or from the VM's own
// upstream.
type IncomingCall struct {
	// ID identifies the call; the upstream gets it too.
	ID     string
	Policy *record.Policy
	// Caller is the identity by which callers share a class fairly.
	Caller string
	// Left is how long the caller waits, in milliseconds.
	TimeLeft clock.Millis
	// Onward marks a call that the VM's own upstream makes for work that it
	// runs.
	Nested bool
	Method string
	// Path is the path with the query.
	Path   string
	Header []portage.Field
	Body   []byte
}

// Carrier carries out work. It is safe for concurrent use.
type Dispatcher interface {
	// Carry sends the work to a VM that runs it. The context ends when the
	// caller does not wait any more.
	Dispatch(ctx context.Context, w *IncomingCall) *portage.Answer
	// TurnedAway notes a call that was refused before it became work.
	RecordRejection(id string, status int, reason string)
	// Configuration returns the routes in force; nil before there are any.
	Configuration() *record.Configuration
	// Leaving tells that the node stops: connections are not kept.
	Leaving() bool
	// Closed tells that the node stops and takes no calls any more.
	Closed() bool
	// Ready tells that the node has routes and is not leaving.
	Ready() bool
}

// Carry implements Carrier.
func (n *Node) Dispatch(ctx context.Context, w *IncomingCall) *portage.Answer {
	n.entry.inFlight.Add(1)
	defer n.entry.inFlight.Add(-1)
	began := n.clock.Now()
	o := n.entry.newOutgoingCall(ctx, w)
	a := n.entry.sender.send(o)
	n.decisions.answered(o, a, n.clock.Now()-began, n.configurationVersion())
	n.metrics.recordCall(w.Policy.Name(), a.Outcome, a.Reason)
	return a
}

// TurnedAway implements Carrier.
func (n *Node) RecordRejection(id string, status int, reason string) {
	n.decisions.rejectedAtEntry(id, status, reason, n.configurationVersion())
	n.metrics.recordCall("", portage.OutcomeNotRun, reason)
}

// Configuration implements Carrier.
func (n *Node) Configuration() *record.Configuration { return n.routes.Load() }

// Leaving implements Carrier.
func (n *Node) Leaving() bool { return n.stopping.Load() || n.owner.leaving.Load() }

// Closed implements Carrier.
func (n *Node) Closed() bool { return n.closed.Load() }

// Ready implements Carrier.
func (n *Node) Ready() bool { return n.ready.Load() && !n.Leaving() }

// order makes an order of work. Calls for work that runs already come before
// all others: without them, what was done for it is lost.
func (e *entry) newOutgoingCall(ctx context.Context, w *IncomingCall) *outgoingCall {
	p := w.Policy
	class := booking.ClassOf(p.Protected() || w.Nested, p.Rank())
	now := e.clock.Now()
	r := &run{
		ctx:       ctx,
		requestID: w.ID,
		class:     class,
		group:     p.Name(),
		caller:    w.Caller,
		began:     now,
		deadline:  now + w.TimeLeft,
		account:   ledger.NewAccount(p.ExtraTries()),
	}
	return newOutgoingCall(r, p, p.ServiceAt(rand.Float64()), portage.Call{
		Origin: e.service,
		Method: w.Method,
		Path:   w.Path,
		Header: w.Header,
		Body:   w.Body,
	})
}
