package depot

import (
	"context"

	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
)

// Run is one attempt to run a call on the upstream. Create it with NewRun.
type Run struct {
	call     *portage.Call
	id       string
	clock    clock.Clock
	deadline clock.Millis
	closed   func() bool
	// memory is that for answers that are being read; nil if it is not limited.
	memory *ledger.Bytes
	// reserved is what this attempt has taken of it.
	reserved int
}

// RunOption changes a Run.
type RunOption func(*Run)

// WithAnswerMemory limits the memory for the answer to what a budget allows. The
// default is no limit.
func WithAnswerMemory(memory *ledger.Bytes) RunOption {
	return func(r *Run) { r.memory = memory }
}

// NewRun returns an attempt to run a call until a deadline on a clock. The id
// identifies the run; all its attempts have the same. Closed reports whether the
// upstream takes no new calls.
func NewRun(c *portage.Call, id string, now clock.Clock, deadline clock.Millis, closed func() bool, opts ...RunOption) *Run {
	r := &Run{call: c, id: id, clock: now, deadline: deadline, closed: closed}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Call returns the call.
func (r *Run) Call() *portage.Call { return r.call }

// ID returns the id of the run.
func (r *Run) ID() string { return r.id }

// Left returns the time until the deadline, in milliseconds.
func (r *Run) Left() clock.Millis { return r.deadline - r.clock.Now() }

// Begin checks whether the call may still be sent, and returns the time left. Call
// it right before the first byte is sent, since connecting may take long. If the
// upstream takes no new calls any more, the time is over or the caller has left, it
// returns the result of the run instead.
func (r *Run) Begin(ctx context.Context) (left clock.Millis, refused *RunResult) {
	left = r.Left()
	switch {
	case r.closed():
		return 0, &RunResult{Outcome: portage.OutcomeNotRun, Reason: reasonLeaving}
	case left <= 0, ctx.Err() != nil:
		return 0, &RunResult{Outcome: portage.OutcomeNotRun, Reason: reasonExpired}
	}
	return left, nil
}

// Reserve takes n bytes of the memory for answers and reports whether there are as
// many. They are released when the run has ended.
func (r *Run) Reserve(n int) bool {
	if r.memory == nil {
		return true
	}
	if !r.memory.Reserve(n) {
		return false
	}
	r.reserved += n
	return true
}

// release frees the memory that the attempt has taken.
func (r *Run) release() {
	if r.memory != nil {
		r.memory.Release(r.reserved)
		r.reserved = 0
	}
}
