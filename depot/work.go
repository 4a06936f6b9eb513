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
type Work struct {
	// ID identifies the call; the upstream gets it too.
	ID     string
	Policy *record.Policy
	// Caller is the identity by which callers share a class fairly.
	Caller string
	// Left is how long the caller waits, in milliseconds.
	Left clock.Millis
	// Onward marks a call that the VM's own upstream makes for work that it
	// runs.
	Onward bool
	Method string
	// Path is the path with the query.
	Path   string
	Header []portage.Field
	Body   []byte
}

// Carrier carries out work. It is safe for concurrent use.
type Carrier interface {
	// Carry sends the work to a VM that runs it. The context ends when the
	// caller does not wait any more.
	Carry(ctx context.Context, w *Work) *portage.Answer
	// TurnedAway notes a call that was refused before it became work.
	TurnedAway(id string, status int, reason string)
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
func (n *Node) Carry(ctx context.Context, w *Work) *portage.Answer {
	n.entry.inWork.Add(1)
	defer n.entry.inWork.Add(-1)
	began := n.clock.Now()
	o := n.entry.order(ctx, w)
	a := n.entry.sender.send(o)
	n.decisions.answered(o, a, n.clock.Now()-began, n.version())
	n.metrics.outcome(w.Policy.Name(), a.Outcome, a.Reason)
	return a
}

// TurnedAway implements Carrier.
func (n *Node) TurnedAway(id string, status int, reason string) {
	n.decisions.turnedAway(id, status, reason, n.version())
	n.metrics.outcome("", portage.OutcomeNotRun, reason)
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
func (e *entry) order(ctx context.Context, w *Work) *order {
	p := w.Policy
	class := booking.ClassOf(p.Protected() || w.Onward, p.Rank())
	now := e.clock.Now()
	r := &run{
		ctx:      ctx,
		request:  w.ID,
		class:    class,
		group:    p.Name(),
		caller:   w.Caller,
		began:    now,
		deadline: now + w.Left,
		account:  ledger.NewAccount(p.ExtraTries()),
	}
	return newOrder(r, p, p.ServiceAt(rand.Float64()), portage.Call{
		Origin: e.service,
		Method: w.Method,
		Path:   w.Path,
		Header: w.Header,
		Body:   w.Body,
	})
}
