package depot

import (
	"context"
	"sync"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
)

// run is the context of a call: of an outside caller's request at its entry,
// or of one run on the upstream, which its onward calls share.
type run struct {
	// ctx ends when nobody waits for the run any more.
	ctx context.Context
	// request is the identity of the outside caller's request.
	requestID string
	// class, group and caller are fixed by the outside caller's request.
	class    booking.Class
	group    string
	caller   string
	began    clock.Millis
	deadline clock.Millis
	account  *ledger.Account
}

// runTable finds the runs on the upstream by the identity that the upstream
// repeats. It is safe for concurrent use.
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
