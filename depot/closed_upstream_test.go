package depot

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// TestQueueOfLeavingUpstream lists an upstream as leaving, or removes it, while
// calls wait for its only slot: none of them may reach it afterwards, and each is
// answered by another VM at once.
func TestQueueOfLeavingUpstream(t *testing.T) {
	const calls = 6
	for _, tt := range []struct {
		name   string
		policy *record.Policy
		gone   bool
	}{
		{"leaving, at most once", nonIdempotentPolicy, false},
		{"leaving, idempotent", idempotentPolicy, false},
		{"gone, at most once", nonIdempotentPolicy, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, vm := startFakeAdapter(t, "u-1", "")
			entry, _ := startFakeAdapter(t, "u-2", "")
			other, otherVM := startFakeAdapter(t, "u-3", "")
			one := record.NewVM("u-1", "kutch", "kutch-a", vm.Address(), record.StateLive).WithUpstream("127.0.9.1:1", 1)
			leaving := record.NewVM("u-1", "kutch", "kutch-a", vm.Address(), record.StateLeaving).WithUpstream("127.0.9.1:1", 1)
			other.setRoster(otherVM)
			a.setRoster(one)
			entry.setRoster(one)
			release := make(chan struct{})
			end := sync.OnceFunc(func() { close(release) })
			t.Cleanup(end)
			a.run = func(ctx context.Context, c *portage.Call) RunResult {
				<-release
				return answerOK(ctx, c)
			}
			var group sync.WaitGroup
			var answered atomic.Int64
			for n := range calls {
				group.Go(func() {
					if got := entry.dispatch(tt.policy, n); got.Outcome == portage.OutcomeAnswered {
						answered.Add(1)
					} else {
						t.Errorf("call %d: got %s (%s), want answered", n, got.Outcome, got.Reason)
					}
				})
			}
			waitUntil(t, "the calls wait", func() bool {
				stats := a.node.owner.controller.Stats()
				return a.runs.Load() == 1 && stats.Running == 1 && stats.Waiting > 0 && stats.Running+stats.Waiting+int(answered.Load()) == calls
			})
			entry.setRoster(otherVM)
			if tt.gone {
				a.setRoster(otherVM)
			} else {
				a.setRoster(leaving, otherVM)
			}
			waitUntil(t, "the waiting calls are answered elsewhere", func() bool { return answered.Load() == calls-1 })
			end()
			group.Wait()
			if got, want := a.runs.Load(), int64(1); got != want {
				t.Errorf("got %d runs on the leaving upstream, want %d", got, want)
			}
		})
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// TestRepeatToLeavingUpstream marks an upstream as leaving while a call that it
// rejected waits to be sent to it again. That attempt must not begin, and the next
// owner must learn that the call reached an upstream before.
func TestRepeatToLeavingUpstream(t *testing.T) {
	a, vm := startFakeAdapter(t, "u-1", "retries: {share: 0.5, spare: 8, window_s: 60}")
	entry, _ := startFakeAdapter(t, "u-2", "")
	other, otherVM := startFakeAdapter(t, "u-3", "retries: {share: 0.5, spare: 8, window_s: 60}")
	other.setRoster(otherVM)
	a.setRoster(vm)
	entry.setRoster(vm)
	leaving := record.NewVM("u-1", "kutch", "kutch-a", vm.Address(), record.StateLeaving).WithUpstream("127.0.9.1:1", 8)
	a.run = func(context.Context, *portage.Call) RunResult {
		entry.setRoster(otherVM)
		a.setRoster(leaving)
		return RunResult{Outcome: portage.OutcomeNotRun, Reached: true, Retryable: true, Reason: "refused"}
	}
	var repeat atomic.Bool
	other.run = func(ctx context.Context, c *portage.Call) RunResult {
		repeat.Store(c.Repeat)
		return answerOK(ctx, c)
	}
	if got, want := entry.dispatch(nonIdempotentPolicy, 0).Outcome, portage.OutcomeAnswered; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := a.runs.Load(), int64(1); got != want {
		t.Errorf("got %d attempts at the leaving upstream, want %d", got, want)
	}
	if !repeat.Load() {
		t.Error("got a first attempt at the other upstream, want a repeat")
	}
}

// TestConnectingToLeavingUpstream closes an upstream while a call connects to it, or
// ends the time of the call: nothing of the call may be sent, and it did not run.
func TestConnectingToLeavingUpstream(t *testing.T) {
	for name, reused := range map[string]bool{"new connection": false, "connection in use": true} {
		t.Run(name, func(t *testing.T) {
			server := startCountingUpstream(t)
			u := newHTTPUpstream(upstreamSettings{Address: server.address, Slots: 1, Connections: 4})
			call := &portage.Call{Method: http.MethodGet, Path: "/"}
			want := int64(0)
			if reused {
				for range 2 {
					u.Run(t.Context(), newRun(call, "first", 2000))
				}
				want = 2
			}
			r := newRun(call, "second", 2000)
			r.closed = func() bool { return true }
			got := u.Run(t.Context(), r)
			if got.Outcome != portage.OutcomeNotRun || got.Reason != reasonLeaving || got.Reached {
				t.Errorf("got %+v, want a call that was not sent since the upstream leaves", got)
			}
			time.Sleep(50 * time.Millisecond)
			if got := server.requests.Load(); got != want {
				t.Errorf("got %d requests at the upstream, want %d", got, want)
			}
		})
	}
}

// countingUpstream counts the requests of which a byte arrives.
type countingUpstream struct {
	address  string
	requests atomic.Int64
}

func startCountingUpstream(t *testing.T) *countingUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &countingUpstream{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *countingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		u.requests.Add(1)
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\n" + HeaderRun + ": " + q.Header.Get(HeaderRun) + "\r\nContent-Length: 0\r\n\r\n"
		if _, err := strings.NewReader(answer).WriteTo(conn); err != nil || q.Close {
			return
		}
	}
}
