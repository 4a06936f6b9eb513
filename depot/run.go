package depot

import (
	"context"
	"sync"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
)

// requestScope holds what a call takes over from the request of an outside
// caller. There is one for each request at its entry, and one for each run on
// the upstream, which the nested calls of the run share.
type requestScope struct {
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
	// account holds the retries that the calls of this scope may still use.
	account *ledger.Account
}

// runTable holds the scopes of the runs in progress on the upstream, by the IDs
// of the runs, which the upstream sends with its nested calls. It is safe for
// concurrent use.
type runTable struct {
	runs sync.Map
}

func (t *runTable) add(id string, r *requestScope) { t.runs.Store(id, r) }

func (t *runTable) remove(id string) { t.runs.Delete(id) }

func (t *runTable) find(id string) *requestScope {
	r, ok := t.runs.Load(id)
	if !ok {
		return nil
	}
	return r.(*requestScope)
}
