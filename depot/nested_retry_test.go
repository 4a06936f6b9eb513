package depot

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
)

// TestNestedCallsOfRetriedRuns guards against more retries at a deep service than its
// limit allows: the calls of a run that is a retry count as retries where they go,
// however the run became one, and so do the calls of those calls. Calls of outside
// callers do not.
func TestNestedCallsOfRetriedRuns(t *testing.T) {
	const calls = 50
	share := func(v string) []portage.Field {
		return []portage.Field{{Name: "A", Value: "b"}, {Name: headerRepeatShare, Value: v}}
	}
	for _, tt := range []struct {
		name string
		call portage.Call
		// refused makes the upstream reject the first attempt of each call.
		refused bool
		// outside lets the calls that the runs send belong to outside callers.
		outside bool
		// want is the share of retries that the calls of the runs carry, in
		// thousandths, and wantRetries how many retries the VM of the runs counts.
		want        int64
		wantRetries int
	}{
		{"first attempt", portage.Call{}, false, false, 0, 0},
		{"nested call of a first attempt", portage.Call{Onward: true}, false, false, 0, 0},
		{"rejected and sent again", portage.Call{}, true, false, wholeRepeat, calls},
		{"nested call rejected and sent again", portage.Call{Onward: true, Header: share("400")}, true, false, wholeRepeat, calls + calls*400/wholeRepeat},
		{"sent again by its entry", portage.Call{Repeat: true}, false, false, wholeRepeat, calls},
		{"nested call of runs that may be retries", portage.Call{Onward: true, Header: share("400")}, false, false, 400, calls * 400 / wholeRepeat},
		{"nested call of a retry", portage.Call{Onward: true, Header: share("1000")}, false, false, wholeRepeat, calls},
		{"share that is no number", portage.Call{Onward: true, Header: share("x")}, false, false, 0, 0},
		{"share out of range", portage.Call{Onward: true, Header: share("1001")}, false, false, 0, 0},
		{"negative share", portage.Call{Onward: true, Header: share("-1")}, false, false, 0, 0},
		{"outside caller's call with a share", portage.Call{Header: share("400")}, false, false, 0, 0},
		{"outside caller's call beside a retry", portage.Call{Repeat: true}, false, true, 0, calls},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			parent, _ := startFakeAdapter(t, "u-1", "retries: {share: 0.001, spare: 1000, window_s: 60000}")
			child, vm := startFakeAdapter(t, "u-2", "")
			parent.setRoster(vm)
			child.setRoster(vm)
			var got []int64
			attempts := make(map[string]int)
			parent.run = func(ctx context.Context, c *portage.Call) RunResult {
				if takeRepeatShare(&portage.Call{Header: c.Header}) != 0 {
					t.Error("got a share of retries that is passed to the upstream")
				}
				if attempts[c.Request]++; tt.refused && attempts[c.Request] == 1 {
					return RunResult{Outcome: portage.OutcomeNotRun, Reached: true, Retryable: true, Reason: "refused"}
				}
				parent.node.entry.sender.learnNested("read", !tt.outside)
				got = append(got, sentShare(ctx, t, parent.node))
				return answerOK(ctx, c)
			}
			limiter := parent.node.owner.retryLimiter
			before := limiter.Available(parent.node.clock.Now())
			for n := range calls {
				c := tt.call
				c.Request, c.Service, c.Kind, c.TimeLeftMS = strconv.Itoa(n), "desk", "seal", 2000
				if a := parent.node.owner.admit(t.Context(), &c, parent.node.clock.Now()+2*clock.Second); a.Outcome != portage.OutcomeAnswered {
					t.Fatalf("call %d: got %s (%s), want answered", n, a.Outcome, a.Reason)
				}
			}
			// Available rounds down, and retries become available again meanwhile.
			if got := before - limiter.Available(parent.node.clock.Now()); got < tt.wantRetries-1 || got > tt.wantRetries+1 {
				t.Errorf("got %d retries counted, want %d", got, tt.wantRetries)
			}
			if len(got) != calls {
				t.Errorf("got %d calls of runs, want %d", len(got), calls)
			}
			for n, share := range got {
				if share != tt.want {
					t.Errorf("call of run %d: got share %d, want %d", n, share, tt.want)
				}
			}
		})
	}
}

// sentShare sends a call from a run on the upstream, and returns the share of retries
// that it carried.
func sentShare(ctx context.Context, t *testing.T, n *Node) int64 {
	t.Helper()
	o := n.entry.prepareCall(ctx, &IncomingCall{
		ID: "nested", Policy: idempotentPolicy, TimeLeft: 2 * clock.Second, Method: http.MethodGet, Path: "/",
	})
	if a := n.entry.sender.send(o); a.Outcome != portage.OutcomeAnswered {
		t.Errorf("call of a run: got %s (%s), want answered", a.Outcome, a.Reason)
	}
	return takeRepeatShare(&o.call)
}

// TestRepeatShareOfRun has an upstream that names the run with its nested calls, and
// one that does not: a call has the share of its run, or that of all runs in progress.
func TestRepeatShareOfRun(t *testing.T) {
	runs := new(runTable)
	e := &entry{runs: runs, clock: clock.NewSystem()}
	shares := []int64{0, wholeRepeat, 250}
	for n, share := range shares {
		id := strconv.Itoa(n)
		runs.add(id, &requestScope{ctx: t.Context(), account: ledger.NewAccount(0), repeatShare: new(atomic.Int64)})
		defer runs.beginAttempt(id, share)()
	}
	for n, want := range shares {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set(HeaderRun, strconv.Itoa(n))
		scope, reason := e.nestedScope(q, idempotentPolicy)
		if reason != "" {
			t.Fatalf("run %d: got reason %s, want none", n, reason)
		}
		if got := runs.repeatShare(scope); got != want {
			t.Errorf("run %d: got share %d, want %d", n, got, want)
		}
	}
	if got, want := runs.repeatShare(&requestScope{}), int64((0+wholeRepeat+250)/3); got != want {
		t.Errorf("all runs: got share %d, want %d", got, want)
	}
	if got := new(runTable).repeatShare(&requestScope{}); got != 0 {
		t.Errorf("no runs: got share %d, want 0", got)
	}
}
