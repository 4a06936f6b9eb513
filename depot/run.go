package depot

import (
	"context"
	"sync"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
)

// run is the context that a call inherits: one per request of an outside caller
// at its entry, and one per run on the upstream, shared by its nested calls.
type run struct {
	// ctx ends when no caller waits for the result any more.
	ctx context.Context
	// requestID identifies the outside caller's request.
	requestID string
	// class (priority class), group (fairness group) and caller are those of the
	// outside caller's request.
	class    booking.Class
	group    string
	caller   string
	began    clock.Millis
	deadline clock.Millis
	account  *ledger.Account
}

// runTable holds the runs in progress on the upstream by their IDs, which the
// upstream sends with its nested calls. It is safe for concurrent use.
type runTable struct {
	runs sync.Map
}

func (t *runTable) add(id string, r *run) { t.runs.Store(id, r) }

func (t *runTable) remove(id string) { t.runs.Delete(id) }

func (t *runTable) find(id string) *run {
	r, ok := t.runs.Load(id)
	if !ok {
		return nil
	}
	return r.(*run)
}
