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
