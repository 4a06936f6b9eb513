package depot

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// TestStartingOwner sends calls to an owner that does not serve the nested calls of
// its upstream yet. It must not run them, and run them once it does.
func TestStartingOwner(t *testing.T) {
	var runs atomic.Int64
	cluster := startCluster(t, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		runs.Add(1)
		echoUpstream(w, q)
	}))
	callers := cluster.entry.settings.listen.Callers
	cluster.owner.ready.Store(false)
	for _, kind := range []string{"seal", "read"} {
		res, p := send(t, callers, http.MethodPost, "/", "", HeaderKind, kind)
		if res.StatusCode != http.StatusServiceUnavailable || p.Outcome != "not-run" {
			t.Errorf("%s: got status %d, %s, want 503, not-run", kind, res.StatusCode, p.Outcome)
		}
	}
	if got := runs.Load(); got != 0 {
		t.Errorf("got %d runs, want none", got)
	}
	cluster.owner.ready.Store(true)
	for _, kind := range []string{"seal", "read"} {
		if res, p := send(t, callers, http.MethodPost, "/", "", HeaderKind, kind); res.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %d, %s, want 200", kind, res.StatusCode, p.Reason)
		}
	}
}
