package depot

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/landing"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
	"cuminhollow.example/standin/fleet"
)

// fakeAdapter is a Source and an Upstream under the control of a test, and holds
// the node that uses them.
type fakeAdapter struct {
	node *Node
	sink chan Sink
	run  func(ctx context.Context, c *portage.Call) RunResult
	// runs counts the runs that begin.
	runs         atomic.Int64
	platformDown atomic.Bool
	// mayBeOld is set while other nodes may have a newer configuration.
	mayBeOld atomic.Bool
	// polls counts the polls of the platform, and copies the copies made for other
	// nodes.
	polls, copies atomic.Int64
	// newestOnly is set while the source copies only its configuration.
	newestOnly atomic.Bool
	// lastWait is how long the last poll was to wait for changes, in milliseconds.
	lastWait atomic.Int64
	started  atomic.Bool
	// answersLost is set while the platform's answers do not arrive.
	answersLost atomic.Bool
	confirmedAt atomic.Int64
	mu          sync.Mutex
	changed     chan struct{}
	// text is what the source copies; its length is the revision.
	text atomic.Pointer[string]
	stop context.CancelFunc
	done chan error
}

// Poll implements Source. The platform has no changes and answers when the wait
// is over.
func (a *fakeAdapter) Poll(ctx context.Context, s Sink, wait clock.Millis) {
	a.polls.Add(1)
	a.lastWait.Store(int64(wait))
	if !a.started.Swap(true) {
		a.sink <- s
	}
	if wait <= 0 {
		wait = clock.Second
	}
	clock.Sleep(ctx, wait.Duration())
	if ctx.Err() == nil && !a.answersLost.Load() {
		a.confirm(a.node.clock.Now())
	}
}

// confirm records that the platform answered the source.
func (a *fakeAdapter) confirm(asOf clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmedAt.Store(int64(asOf))
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAdapter) Updated() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

func (a *fakeAdapter) MustPoll() bool { return a.platformDown.Load() }

func (a *fakeAdapter) Age() clock.Millis {
	return a.node.clock.Now() - clock.Millis(a.confirmedAt.Load())
}

func (a *fakeAdapter) Unavailable() bool { return a.platformDown.Load() }

func (a *fakeAdapter) Revision() uint64 { return uint64(len(a.currentText())) }

func (a *fakeAdapter) CopyAfter() uint64 { return a.Revision() }

func (a *fakeAdapter) Copy(after uint64) Copy {
	a.copies.Add(1)
	known := a.currentText()
	switch {
	case after == AfterVersion:
		return Copy{Revision: uint64(len(known)), Text: []byte("version")}
	case after == AfterConfiguration:
	case uint64(len(known)) <= after || a.newestOnly.Load():
		return Copy{Revision: min(after, uint64(len(known)))}
	}
	return Copy{Revision: uint64(len(known)), Whole: true, Text: []byte(known)}
}

func (a *fakeAdapter) MayBeOld() bool { return a.mayBeOld.Load() }

func (a *fakeAdapter) Compare(_ Sink, c Copy) bool { return c.Revision > a.Revision() }

func (a *fakeAdapter) AdoptConfiguration(s Sink, c Copy) error {
	if string(c.Text) == "damaged" {
		return errors.New("damaged")
	}
	s.SetConfiguration(record.NewConfiguration(uint64(len(c.Text)), nil, record.Limits{}))
	return nil
}

func (a *fakeAdapter) Adopt(s Sink, c Copy, asOf clock.Millis) error {
	if string(c.Text) == "damaged" {
		return errors.New("damaged")
	}
	if len(c.Text) > 0 {
		a.setText(string(c.Text))
		s.SetConfiguration(record.NewConfiguration(uint64(len(c.Text)), nil, record.Limits{}))
	}
	if asOf > 0 {
		a.confirm(asOf)
	}
	return nil
}

func (a *fakeAdapter) Run(ctx context.Context, r *Run) RunResult {
	if _, refused := r.Begin(ctx); refused != nil {
		return *refused
	}
	a.runs.Add(1)
	return a.run(ctx, r.Call())
}

// noFrontend knows no request.
type noFrontend struct{}

func (noFrontend) ServeHTTP(w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) }

func (noFrontend) Concurrent(*http.Request) bool { return false }

func (noFrontend) Limits() landing.Limits { return landing.DefaultLimits() }

func answerOK(context.Context, *portage.Call) RunResult {
	return RunResult{Outcome: portage.OutcomeAnswered, Reached: true, Status: http.StatusOK}
}

var (
	idempotentPolicy    = record.NewPolicy("read", "desk", record.WithIdempotent(true), record.WithTries(2))
	nonIdempotentPolicy = record.NewPolicy("seal", "desk", record.WithTries(2))
)

// startFakeAdapter starts a node of service desk on a VM named upstream, with
// further settings.
func startFakeAdapter(t *testing.T, upstream string, settings string) (*fakeAdapter, record.VM) {
	t.Helper()
	host := fleet.NewHost()
	address := "127.0.9." + strings.TrimPrefix(upstream, "u-") + ":1"
	s, err := ParseSettings("test", fmt.Appendf(nil, `vm: %s
service: desk
region: kutch
zone: kutch-a
listen: {callers: %q, peers: %q, operators: %q}
upstream: {address: %q}
platform: ["127.0.0.1:1"]
adapter: {name: test, answer_grace_ms: 100}
transport: {plain: true}
policy: {limit: fixed}
%s
`, upstream, host.CallerAddress(), host.PeerAddress(), host.OperatorAddress(), address, settings))
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAdapter{sink: make(chan Sink, 1), changed: make(chan struct{}), run: answerOK, done: make(chan error, 1)}
	a.node, err = New(s, WithSource(a), WithUpstream(a), WithFrontend(func(Dispatcher) Frontend { return noFrontend{} }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	go func() { a.done <- a.node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-a.done; err != nil {
			t.Errorf("run: got %v, want nil", err)
		}
	})
	<-a.sink
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", host.PeerAddress()); err == nil {
			_ = c.Close()
			break
		}
	}
	vm := record.NewVM(upstream, "kutch", "kutch-a", host.PeerAddress(), record.StateLive).WithUpstream(address, 8)
	return a, vm
}

// setRoster makes the node ready, as a source publishes routes and rosters together.
func (a *fakeAdapter) setRoster(vms ...record.VM) {
	a.node.ready.Store(true)
	a.node.SetRosters([]*record.Roster{record.NewRoster("desk", vms)})
}

func (a *fakeAdapter) dispatch(p *record.Policy, n int) *portage.Answer {
	return a.node.Dispatch(context.Background(), &IncomingCall{
		ID: "id-" + strconv.Itoa(n), Policy: p, TimeLeft: 2 * clock.Second, Method: http.MethodPost, Path: "/",
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	if a.node.Ready() {
		t.Error("before the first configuration: got ready, want not")
	}
	for _, version := range []uint64{7, 9, 8, 7} {
		a.node.SetConfiguration(record.NewConfiguration(version, nil, record.Limits{}))
	}
	if got, want := a.node.Configuration().Version(), uint64(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	if !a.node.Ready() {
		t.Error("with a configuration: got not ready, want ready")
	}
}

// TestRejectingUpstream has an upstream that rejects every other request without
// running it: calls are sent again within the rate limit on retries, and calls
// that end as rejected have not run.
func TestRejectingUpstream(t *testing.T) {
	const calls, share, allowance = 40, 0.5, 4
	a, vm := startFakeAdapter(t, "u-1", fmt.Sprintf("retries: {share: %g, spare: %d, window_s: 60}", share, allowance))
	a.setRoster(vm)
	var arrivals, ran atomic.Int64
	a.run = func(ctx context.Context, c *portage.Call) RunResult {
		if arrivals.Add(1)%2 == 1 {
			return RunResult{Outcome: portage.OutcomeNotRun, Reached: true, Retryable: true, Reason: "refused"}
		}
		ran.Add(1)
		return answerOK(ctx, c)
	}
	answered := int64(0)
	for n := range calls {
		a := a.dispatch(nonIdempotentPolicy, n)
		if a.Outcome == portage.OutcomeUnknown {
			t.Errorf("call %d: got unknown (%s), want an answer or not run", n, a.Reason)
		}
		if a.Outcome == portage.OutcomeAnswered {
			answered++
		}
	}
	if got := ran.Load(); got != answered {
		t.Errorf("got %d runs for %d answers", got, answered)
	}
	if got, limit := arrivals.Load()-calls, int64(share*calls+allowance); got < 1 || got > limit {
		t.Errorf("got %d retries, want 1 to %d", got, limit)
	}
}

// TestLeavingUpstream marks the VM's own upstream as leaving, or removes it from
// the roster: it gets no new work until the roster lists it as live again.
func TestLeavingUpstream(t *testing.T) {
	a, vm := startFakeAdapter(t, "u-1", "")
	entry, other := startFakeAdapter(t, "u-2", "")
	leaving := record.NewVM("u-1", "kutch", "kutch-a", vm.Address(), record.StateLeaving).WithUpstream("127.0.9.1:1", 8)
	entry.setRoster(vm)
	for _, step := range []struct {
		name string
		vms  []record.VM
		want portage.Outcome
	}{
		{"listed", []record.VM{vm}, portage.OutcomeAnswered},
		{"leaving", []record.VM{leaving}, portage.OutcomeNotRun},
		{"back", []record.VM{vm}, portage.OutcomeAnswered},
		{"gone", []record.VM{other}, portage.OutcomeNotRun},
	} {
		a.setRoster(step.vms...)
		entry.node.router.Target("u-1").Reset()
		before := a.runs.Load()
		if got := entry.dispatch(nonIdempotentPolicy, 0).Outcome; got != step.want {
			t.Errorf("%s: got %s, want %s", step.name, got, step.want)
		}
		if got := a.runs.Load() - before; (got > 0) != (step.want == portage.OutcomeAnswered) {
			t.Errorf("%s: got %d runs", step.name, got)
		}
	}
}

// TestStopServesPeers stops a node: it stops being ready at once, goes on
// serving its peers until callers have had time to go elsewhere, and then
// rejects new calls without running them.
func TestStopServesPeers(t *testing.T) {
	a, vm := startFakeAdapter(t, "u-1", "stop: {within_s: 4}")
	entry, _ := startFakeAdapter(t, "u-2", "")
	entry.setRoster(vm)
	a.setRoster(vm)
	a.node.SetConfiguration(record.NewConfiguration(1, nil, record.Limits{}))
	if got := entry.dispatch(idempotentPolicy, 0).Outcome; got != portage.OutcomeAnswered {
		t.Fatalf("before the stop: got %s, want answered", got)
	}
	a.stop()
	for end := time.Now().Add(5 * time.Second); a.node.Ready() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if a.node.Ready() {
		t.Error("after the stop began: got ready, want not")
	}
	if !a.node.closed.Load() {
		if got := entry.dispatch(idempotentPolicy, 1).Outcome; got != portage.OutcomeAnswered && !a.node.closed.Load() {
			t.Errorf("while stopping, before the node is closed: got %s, want answered", got)
		}
	}
	for end := time.Now().Add(10 * time.Second); !a.node.closed.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	before := a.runs.Load()
	if got := entry.dispatch(nonIdempotentPolicy, 2).Outcome; got != portage.OutcomeNotRun {
		t.Errorf("after the node closed: got %s, want not run", got)
	}
	if got := a.runs.Load() - before; got != 0 {
		t.Errorf("after the node closed: got %d runs, want none", got)
	}
}

// TestReplacedNode lists a second VM at the address of the first, as after the
// replacement of a VM: one process serves both names and runs each call once.
func TestReplacedNode(t *testing.T) {
	a, vm := startFakeAdapter(t, "u-1", "")
	entry, _ := startFakeAdapter(t, "u-2", "")
	a.setRoster(vm)
	renamed := record.NewVM("u-9", "kutch", "kutch-a", vm.Address(), record.StateLive).WithUpstream("127.0.9.1:1", 8)
	a.run = func(_ context.Context, c *portage.Call) RunResult {
		return RunResult{Outcome: portage.OutcomeAnswered, Reached: true, Status: http.StatusOK, Body: []byte(c.Request)}
	}
	for n := range 40 {
		entry.setRoster([]record.VM{vm, renamed}[n%2])
		answer := entry.dispatch(nonIdempotentPolicy, n)
		if got, want := string(answer.Body), "id-"+strconv.Itoa(n); got != want {
			t.Fatalf("got the answer of %q, want that of %q", got, want)
		}
	}
	if got, want := a.runs.Load(), int64(40); got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// TestWaitEstimateOfNestedCalls fills the upstream with nested calls. The wait
// estimate in an answer to one must be that of the class in which it is queued;
// the class in the call itself is less urgent and waits longer.
func TestWaitEstimateOfNestedCalls(t *testing.T) {
	a, vm := startFakeAdapter(t, "u-1", "")
	a.setRoster(vm)
	o := a.node.owner
	o.controller.SetServiceSizes(map[string]int{"desk": 1, "other": 1, "third": 1})
	c := &portage.Call{Request: "id", Kind: "read", Group: "read", Class: 9, Origin: "other"}
	var now clock.Millis
	for range 100 {
		ac := newAdmissionCall(c, now+clock.Hour)
		o.controller.Admit(now, ac)
		now += 10
		o.controller.Done(now, ac, booking.ResultOK)
	}
	for range vm.Slots() {
		o.controller.Admit(now, newAdmissionCall(c, now+clock.Hour))
	}
	class, nested := o.effectiveClass(c)
	if !nested {
		t.Fatal("got no nested call, want one")
	}
	estimate := o.controller.Estimate(now, class, c.Kind)
	o.clock = fixedClock(now)
	if got, limit := o.completeAnswer(c, notRunAnswer(reasonBusy, 0)).WaitMS, int64(estimate.Wait)+1; got > limit {
		t.Errorf("got a wait of %d ms, want at most %d", got, limit)
	}
}

// fixedClock always returns the same time.
type fixedClock clock.Millis

func (c fixedClock) Now() clock.Millis { return clock.Millis(c) }

// TestLostAnswerThenRejection loses the answer of a VM that ran the work; the
// retry then reaches a VM that rejects it. The work may have run, so the outcome
// must be unknown, not "not run".
func TestLostAnswerThenRejection(t *testing.T) {
	losing, first := startFakeAdapter(t, "u-1", "")
	entry, _ := startFakeAdapter(t, "u-2", "")
	rejecting, second := startFakeAdapter(t, "u-3", "")
	losing.setRoster(first)
	rejecting.setRoster(second)
	losing.run = func(context.Context, *portage.Call) RunResult {
		entry.setRoster(second)
		return RunResult{Outcome: portage.OutcomeUnknown, Reached: true, Reason: reasonAnswerLost}
	}
	rejecting.run = func(context.Context, *portage.Call) RunResult {
		return RunResult{Outcome: portage.OutcomeNotRun, Reached: true, Reason: reasonOverload}
	}
	entry.setRoster(first)
	if got, want := entry.dispatch(idempotentPolicy, 0).Outcome, portage.OutcomeUnknown; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if losing.runs.Load() != 1 || rejecting.runs.Load() != 1 {
		t.Errorf("got %d and %d runs, want one on each VM", losing.runs.Load(), rejecting.runs.Load())
	}
}
