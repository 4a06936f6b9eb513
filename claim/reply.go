package claim

// Reply is what the owner knows of a ticket: Run, Wait, Done, NotRun or
// Unknown.
type Reply[A any] interface {
	isReply(A)
}

// Run tells the one process that presented the ticket first to run the work
// and then to call Finish, Refuse or Lose.
type Run[A any] struct{}

// Wait says that the work is queued or running.
type Wait[A any] struct {
	// Settled is closed when the outcome is there; present the ticket again.
	Completed <-chan struct{}
}

// Done says that the work ran and carries its answer.
type Done[A any] struct {
	Answer A
}

// NotRun says that the work did not run and never will under this ticket.
type NotRun[A any] struct{}

// Unknown says that the work may have run, and never will from now on.
type Unknown[A any] struct{}

func (Run[A]) isReply(A)     {}
func (Wait[A]) isReply(A)    {}
func (Done[A]) isReply(A)    {}
func (NotRun[A]) isReply(A)  {}
func (Unknown[A]) isReply(A) {}
