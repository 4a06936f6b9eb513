package depot

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
	"github.com/rs/zerolog"
)

// TestPanicOfRun lets a run on the upstream panic. Its call must end with an
// unknown outcome, as the work may have run, and free its slot; the ticket must
// not run again, and other calls must be answered.
func TestPanicOfRun(t *testing.T) {
	a, vm := startFakeAdapter(t, "u-1", "")
	a.setRoster(vm)
	var ticket atomic.Pointer[string]
	a.run = func(ctx context.Context, c *portage.Call) RunResult {
		if strings.HasSuffix(c.Request, "-1") {
			ticket.Store(&c.Ticket)
			panic("fault of a test")
		}
		return answerOK(ctx, c)
	}
	for n := range 3 * vm.Slots() {
		want := portage.OutcomeAnswered
		id := n % 6
		if id == 1 {
			want = portage.OutcomeUnknown
		}
		if got := a.dispatch(nonIdempotentPolicy, id); got.Outcome != want {
			t.Errorf("call %d: got %s (%s), want %s", n, got.Outcome, got.Reason, want)
		}
	}
	if got := a.node.owner.controller.Stats().Running; got != 0 {
		t.Errorf("got %d slots in use, want none", got)
	}
	runs := a.runs.Load()
	again := a.node.Handle(t.Context(), portage.Peer{}, &portage.Call{Ticket: *ticket.Load(), TimeLeftMS: 1000, Sum: portage.Checksum(nil)}).(*portage.Answer)
	if again.Outcome != portage.OutcomeUnknown || a.runs.Load() != runs {
		t.Errorf("same ticket again: got %s and %d runs, want unknown and none", again.Outcome, a.runs.Load()-runs)
	}
}

// panickingSource panics in its first polls.
type panickingSource struct {
	Source
	polls atomic.Int64
}

func (s *panickingSource) Poll(ctx context.Context, _ Sink, _ clock.Millis) {
	if s.polls.Add(1) == 1 {
		panic("fault of a test")
	}
	<-ctx.Done()
}

func (*panickingSource) MustPoll() bool { return true }

func (*panickingSource) Age() clock.Millis { return 0 }

// TestPanicOfSource checks that a node goes on polling after a panic.
func TestPanicOfSource(t *testing.T) {
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	source := new(panickingSource)
	f := &follower{
		source:     source,
		clock:      clock.NewSystem(),
		copyServer: &copyServer{clock: clock.NewSystem()},
		guard:      &guard{log: zerolog.New(&out), metrics: m},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.run(ctx) }()
	for source.polls.Load() < 2 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil || source.polls.Load() != 2 {
		t.Errorf("got %d polls and %v, want a second poll", source.polls.Load(), err)
	}
	for _, want := range []string{`"event":"panic"`, `"part":"follower"`, "fault of a test", "guard_test.go"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log: got %q, want %s in it", out.String(), want)
		}
	}
}

// TestPanicOfHandler checks the response when an HTTP handler panics before or
// after it has begun to write.
func TestPanicOfHandler(t *testing.T) {
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	g := &guard{log: zerolog.Nop(), metrics: m}
	server := httptest.NewServer(g.handler(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/late" {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		}
		panic("fault of a test")
	})))
	defer server.Close()
	res, err := http.Get(server.URL + "/early")
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if got, want := res.StatusCode, http.StatusBadGateway; got != want {
		t.Errorf("before a response: got status %d, want %d", got, want)
	}
	if res, err := http.Get(server.URL + "/late"); err == nil {
		defer func() { _ = res.Body.Close() }()
		body := make([]byte, 10)
		if n, err := res.Body.Read(body); err == nil && n == len(body) {
			t.Error("within a response: got a whole body, want it cut")
		}
	}
}
