package depot

import (
	"context"
	"sync"
	"sync/atomic"

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
	// repeatShare is how much of the run counts as a retry, in thousandths; nil for
	// an outside caller's request.
	repeatShare *atomic.Int64
}

// wholeRepeat is the share of retries of a run that is one, in thousandths.
const wholeRepeat = 1000

// runTable holds the scopes of the runs in progress on the upstream, by the IDs
// of the runs, which the upstream sends with its nested calls. It is safe for
// concurrent use.
type runTable struct {
	runs sync.Map
	// running counts the attempts in progress, and repeated is the sum of their
	// shares of retries, in thousandths.
	running, repeated atomic.Int64
}

// beginAttempt records that an attempt of a run is in progress until end is called.
// RepeatShare is how much of it counts as a retry, in thousandths.
func (t *runTable) beginAttempt(id string, repeatShare int64) (end func()) {
	if s := t.find(id); s != nil {
		s.repeatShare.Store(repeatShare)
	}
	t.running.Add(1)
	t.repeated.Add(repeatShare)
	return func() {
		t.running.Add(-1)
		t.repeated.Add(-repeatShare)
	}
}

// repeatShare returns how much of a nested call counts as made by a retry, in
// thousandths. If the upstream did not name the run, it is the share of retries among
// the attempts in progress.
func (t *runTable) repeatShare(r *requestScope) int64 {
	if r.repeatShare != nil {
		return r.repeatShare.Load()
	}
	running := t.running.Load()
	if running <= 0 {
		return 0
	}
	return max(0, min(t.repeated.Load()/running, wholeRepeat))
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
