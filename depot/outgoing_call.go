package depot

import (
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// outgoingCall is a call that the node sends to owners, with the state of its
// attempts.
type outgoingCall struct {
	scope *requestScope
	call  portage.Call
	// service names the service that runs the work.
	service    string
	idempotent bool
	// targetTime is the target time of the work, and usefulUntil the time on the
	// node's clock when it ends, both in milliseconds. Later answers are no longer
	// of full use.
	targetTime, usefulUntil clock.Millis
	// attempts picks the VM of each attempt and counts the attempts.
	attempts *dispatch.Attempts
	// mayHaveRun is set once the outcome of an attempt is unknown.
	mayHaveRun bool
	// ticket is the ticket of the last attempt; zero for idempotent work.
	ticket claim.Ticket
	// maxTries is the number of tries in the record of the kind.
	maxTries int
}

// newOutgoingCall returns a call to a service that belongs to a scope. The
// fields of c that the caller did not send are filled in.
func newOutgoingCall(r *requestScope, p *record.Policy, service string, c portage.Call) *outgoingCall {
	c.Request = r.requestID
	c.Service = service
	c.Kind = p.Name()
	c.Group = r.group
	c.Class = uint8(r.class)
	c.Caller = r.caller
	c.Sum = portage.Checksum(c.Body)
	targetTime := min(p.Target(), p.Timeout())
	usefulUntil := r.began + targetTime
	return &outgoingCall{
		scope:       r,
		call:        c,
		service:     service,
		idempotent:  p.Idempotent(),
		targetTime:  targetTime,
		usefulUntil: usefulUntil,
		maxTries:    p.Tries(),
		attempts: dispatch.NewAttempts(dispatch.Request{
			Service:    service,
			Class:      r.class,
			Kind:       p.Name(),
			TargetTime: targetTime,
		}),
	}
}

// finalAnswer returns the answer for the caller after the last attempt. When an
// earlier attempt may have run the work, a rejection of the last one does not
// mean that it did not run, and the outcome is unknown.
func (o *outgoingCall) finalAnswer(a *portage.Answer) *portage.Answer {
	if o.mayHaveRun && a.Outcome == portage.OutcomeNotRun {
		return unknownAnswer(a.Reason)
	}
	return a
}
