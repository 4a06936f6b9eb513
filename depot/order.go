package depot

import (
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
)

// order is a call on its way to an owner.
type order struct {
	run  *run
	call portage.Call
	// service runs the work.
	service    string
	idempotent bool
	// target is the time within which the answer is of full use.
	target clock.Millis
	// avoid names the VMs that were tried.
	avoid []string
	// mayHaveRun is set by a try whose outcome is unknown.
	mayHaveRun bool
	// moves counts the refusals by owners whose upstream was not reached.
	moves int
	// busy names the VMs that would have queued the call for too long.
	busy []string
	// ticket is that of the last attempt; zero for idempotent work.
	ticket claim.Ticket
	// tries counts the attempts; maxTries is that of the kind's record.
	tries    int
	maxTries int
}

// told returns what the caller is told after the last try: a refusal by one
// owner does not make work unrun that another may have run.
func (o *order) told(a *portage.Answer) *portage.Answer {
	if o.mayHaveRun && a.Outcome == portage.OutcomeNotRun {
		return unknown(a.Reason)
	}
	return a
}
