package claim

// Reply is the status of a ticket at its owner: Run, Wait, Done, NotRun or
// Unknown.
type Reply[A any] interface {
	isReply(A)
}

// Run is returned to the first caller that claims a ticket. That caller must
// run the work and then call Finish, Refuse or MarkLost.
type Run[A any] struct{}

// Wait means that the work is queued or running.
type Wait[A any] struct {
	// Completed is closed by Finish, Refuse or MarkLost. Claim the ticket again
	// to get the outcome.
	Completed <-chan struct{}
}

// Done means that the work ran; it carries the answer.
type Done[A any] struct {
	Answer A
}

// NotRun means that the work did not run and never will under this ticket.
type NotRun[A any] struct{}

// Unknown means that the work may have run. It never runs again under this
// ticket.
type Unknown[A any] struct{}

func (Run[A]) isReply(A)     {}
func (Wait[A]) isReply(A)    {}
func (Done[A]) isReply(A)    {}
func (NotRun[A]) isReply(A)  {}
func (Unknown[A]) isReply(A) {}
