package depot

import (
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// order is a call on its way to an owner.
type outgoingCall struct {
	run  *run
	call portage.Call
	// service runs the work.
	service    string
	idempotent bool
	// target is the time within which the answer is of full use, and useful its
	// end.
	target, usefulUntil clock.Millis
	// trip leads from VM to VM.
	attempts *dispatch.Attempts
	// mayHaveRun is set by a try whose outcome is unknown.
	mayHaveRun bool
	// ticket is that of the last attempt; zero for idempotent work.
	ticket claim.Ticket
	// maxTries is that of the kind's record.
	maxTries int
}

// newOrder returns the order of a call for a service within a run. The call
// holds what the caller sent; the rest is filled in.
func newOutgoingCall(r *run, p *record.Policy, service string, c portage.Call) *outgoingCall {
	c.Request = r.requestID
	c.Service = service
	c.Kind = p.Name()
	c.Group = r.group
	c.Class = uint8(r.class)
	c.Caller = r.caller
	c.Sum = portage.Checksum(c.Body)
	target := min(p.Target(), p.Timeout())
	useful := r.began + target
	return &outgoingCall{
		run:         r,
		call:        c,
		service:     service,
		idempotent:  p.Idempotent(),
		target:      target,
		usefulUntil: useful,
		maxTries:    p.Tries(),
		attempts: dispatch.NewAttempts(dispatch.Request{
			Service:    service,
			Class:      r.class,
			Kind:       p.Name(),
			TargetTime: target,
		}),
	}
}

// told returns what the caller is told after the last try: a refusal by one
// owner does not make work unrun that another may have run.
func (o *outgoingCall) finalAnswer(a *portage.Answer) *portage.Answer {
	if o.mayHaveRun && a.Outcome == portage.OutcomeNotRun {
		return unknownAnswer(a.Reason)
	}
	return a
}
