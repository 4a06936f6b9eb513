package depot

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// dispatchLong sends a call of another VM's service that may take long, and returns
// its answer.
func (a *fakeAdapter) dispatchLong(p *record.Policy, id string, left clock.Millis) *portage.Answer {
	return a.node.Dispatch(context.Background(), &IncomingCall{ID: id, Policy: p, TimeLeft: left, Method: http.MethodPost, Path: "/"})
}

// TestStopAnswersAllCalls stops a node that has taken calls, before the stop or during
// it, which wait or run at another VM for longer than the stop lasts. None may be cut
// off without an answer: what waits is told as not run, and does not run later; what
// runs is awaited for as long as the stop allows, and then told as unknown.
func TestStopAnswersAllCalls(t *testing.T) {
	const within = 2 * time.Second
	long := []record.PolicyOption{record.WithTimeout(20 * clock.Second), record.WithTarget(20 * clock.Second)}
	once := record.NewPolicy("seal", "desk", long...)
	idempotent := record.NewPolicy("read", "desk", append(long, record.WithIdempotent(true))...)
	for _, tt := range []struct {
		name   string
		policy *record.Policy
		// during sends the call during the stop rather than before it.
		during bool
		// runFor is how long the run of the call takes; 0 keeps it waiting for a slot.
		runFor time.Duration
		want   portage.Outcome
	}{
		{"waits, at most once", once, false, 0, portage.OutcomeNotRun},
		{"waits, at most once, sent during the stop", once, true, 0, portage.OutcomeNotRun},
		{"waits, idempotent, sent during the stop", idempotent, true, 0, portage.OutcomeNotRun},
		{"waits, idempotent", idempotent, false, 0, portage.OutcomeUnknown},
		{"runs and ends, at most once", once, false, within * 3 / 4, portage.OutcomeAnswered},
		{"runs and ends, idempotent", idempotent, false, within * 3 / 4, portage.OutcomeAnswered},
		{"runs for longer, at most once", once, false, 4 * within, portage.OutcomeUnknown},
		{"runs for longer, idempotent", idempotent, false, 4 * within, portage.OutcomeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			entry, _ := startFakeAdapter(t, "u-2", "stop: {within_s: 2}")
			owner, vm := startFakeAdapter(t, "u-1", "")
			one := record.NewVM("u-1", "kutch", "kutch-a", vm.Address(), record.StateLive).WithUpstream("127.0.9.1:1", 1)
			owner.setRoster(one)
			entry.setRoster(one)
			entry.node.SetConfiguration(record.NewConfiguration(1, nil, record.Limits{}))
			var ran atomic.Bool
			release := make(chan struct{})
			owner.run = func(ctx context.Context, c *portage.Call) RunResult {
				if c.Request == "first" {
					<-release
					return answerOK(ctx, c)
				}
				ran.Store(true)
				clock.Sleep(ctx, tt.runFor)
				return answerOK(ctx, c)
			}
			if tt.runFor > 0 {
				close(release)
			} else {
				t.Cleanup(func() { close(release) })
				go entry.dispatchLong(once, "first", 20*clock.Second)
				waitUntil(t, "the first call runs", func() bool { return owner.node.owner.controller.Stats().Running == 1 })
			}
			answers := make(chan *portage.Answer, 1)
			send := func() { answers <- entry.dispatchLong(tt.policy, "second", 20*clock.Second) }
			if !tt.during {
				go send()
				waitUntil(t, "the call is at its owner", func() bool {
					stats := owner.node.owner.controller.Stats()
					return stats.Waiting == 1 || ran.Load()
				})
			}
			entry.stop()
			over := time.After(entry.node.settings.stop.timeout())
			waitUntil(t, "the stop begins", func() bool { return entry.node.Leaving() })
			if tt.during {
				go send()
			}
			select {
			case a := <-answers:
				if a.Outcome != tt.want {
					t.Errorf("got %s (%s), want %s", a.Outcome, a.Reason, tt.want)
				}
				if gaveUp := entry.node.entry.stop.givenUp.Err() != nil; gaveUp != (tt.want == portage.OutcomeUnknown) {
					t.Errorf("got an answer because the stop gave up %t, want that for an unknown outcome alone", gaveUp)
				}
			case <-over:
				t.Error("got no answer before the connections of callers are closed")
			}
			if got, want := ran.Load(), tt.runFor > 0; got != want {
				t.Errorf("got run %t, want %t", got, want)
			}
		})
	}
}

// TestStopOfOwnerFailsOver stops a node at which calls wait that cannot end before the
// stop is over: they are answered by another VM, and none is lost.
func TestStopOfOwnerFailsOver(t *testing.T) {
	const calls = 4
	owner, vm := startFakeAdapter(t, "u-1", "stop: {within_s: 2}")
	entry, _ := startFakeAdapter(t, "u-2", "")
	other, otherVM := startFakeAdapter(t, "u-3", "")
	one := record.NewVM("u-1", "kutch", "kutch-a", vm.Address(), record.StateLive).WithUpstream("127.0.9.1:1", 1)
	owner.setRoster(one)
	other.setRoster(otherVM)
	entry.setRoster(one)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	owner.run = func(ctx context.Context, c *portage.Call) RunResult {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return answerOK(ctx, c)
	}
	long := record.NewPolicy("seal", "desk", record.WithTimeout(20*clock.Second), record.WithTarget(20*clock.Second))
	var answered atomic.Int64
	for n := range calls {
		go func() {
			if a := entry.dispatchLong(long, strconv.Itoa(n), 20*clock.Second); a.Outcome == portage.OutcomeAnswered {
				answered.Add(1)
			}
		}()
	}
	waitUntil(t, "the calls wait", func() bool { return owner.node.owner.controller.Stats().Waiting == calls-1 })
	entry.setRoster(one, otherVM)
	owner.stop()
	waitUntil(t, "the waiting calls are answered elsewhere", func() bool { return answered.Load() >= calls-1 })
	if got, want := owner.runs.Load(), int64(1); got != want {
		t.Errorf("got %d runs on the VM that stops, want %d", got, want)
	}
}

// TestNestedCallsDuringStop stops a node whose upstream still runs a call: the nested
// calls of that run are taken until it ends, calls of other kinds are not.
func TestNestedCallsDuringStop(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "stop: {within_s: 3}")
	a.node.SetConfiguration(record.NewConfiguration(1, nil, record.Limits{}))
	a.node.entry.sender.learnNested("read", true)
	if !a.node.TakesCalls(nonIdempotentPolicy) {
		t.Error("before the stop: got calls rejected, want them taken")
	}
	a.node.owner.inFlight.Add(1)
	a.stop()
	waitUntil(t, "the node drains", a.node.closed.Load)
	if !a.node.TakesCalls(idempotentPolicy) || a.node.TakesCalls(nonIdempotentPolicy) {
		t.Error("while a call runs: got nested calls rejected or others taken")
	}
	a.node.owner.inFlight.Add(-1)
	if a.node.TakesCalls(idempotentPolicy) {
		t.Error("when no call runs: got nested calls taken, want them rejected")
	}
}
