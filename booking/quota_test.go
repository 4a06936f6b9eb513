package booking

import (
	"slices"
	"testing"

	"cuminhollow.example/clock"
)

// runs simulates runs of one kind. duration is that of each run, and overload the
// downstream overload that each nested call reports.
type runs struct {
	controller    *Controller
	now           clock.Millis
	kind          string
	duration      clock.Millis
	overload      float64
	failing       bool
	nonIdempotent bool
}

// simulate offers the given number of calls in each round of runs for a span, and
// returns the number that started in the last round.
func (r *runs) simulate(offered int, span clock.Millis) int {
	inFlight := 0
	for end := r.now + span; r.now < end; {
		var started []*Call
		for range offered {
			c := NewCall(ClassOf(false, 1), r.kind, "", r.now+clock.Hour)
			if r.nonIdempotent {
				c.SetNonIdempotent()
			}
			if r.controller.Admit(r.now, c) == VerdictStart {
				started = append(started, c)
			} else {
				r.controller.Cancel(c)
			}
		}
		inFlight = len(started)
		r.now += r.duration
		for _, c := range started {
			r.controller.ObserveDownstreamOverload(r.now, r.overload)
			result := ResultOK
			if r.failing {
				result = ResultError
			}
			if r.controller.Done(r.now, c, result) > 0 {
				r.controller.Release(r.now, c)
			}
		}
	}
	return inFlight
}

// TestQuotaUnderDownstreamOverload makes runs slow while their nested calls report
// overloaded services, and then fast again: the number of runs in flight falls to
// at most half, and recovers within two seconds.
func TestQuotaUnderDownstreamOverload(t *testing.T) {
	r := &runs{controller: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "history", duration: 100}
	before := r.simulate(20, 4*clock.Second)
	if before != 20 {
		t.Fatalf("before the overload: got %d in flight, want all 20", before)
	}
	r.duration, r.overload = 300, 0.8
	if got, want := r.simulate(40, 4*clock.Second), before/2; got > want {
		t.Errorf("during the overload: got %d in flight, want at most %d", got, want)
	}
	r.duration, r.overload = 100, 0
	if got := r.simulate(20, 2*clock.Second); got != before {
		t.Errorf("2 s after the overload: got %d in flight, want %d", got, before)
	}
}

// TestQuotaOfUnaffectedKind keeps runs of a kind fast and successful while nested
// calls of the upstream, made for other kinds, report overloaded services: the
// kind keeps its runs in flight.
func TestQuotaOfUnaffectedKind(t *testing.T) {
	r := &runs{controller: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "booking", duration: 100}
	r.simulate(20, 4*clock.Second)
	r.overload = 1
	if got, want := r.simulate(20, 4*clock.Second), 20; got != want {
		t.Errorf("got %d in flight, want %d", got, want)
	}
}

// TestFailingNonIdempotentWork lets all runs of a kind fail while no service is
// overloaded: non-idempotent work is limited, and idempotent work is not, since it
// may be retried.
func TestFailingNonIdempotentWork(t *testing.T) {
	for _, nonIdempotent := range []bool{true, false} {
		r := &runs{controller: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "seal", duration: 100, nonIdempotent: nonIdempotent}
		r.simulate(20, 4*clock.Second)
		r.failing = true
		got := r.simulate(20, 4*clock.Second)
		if nonIdempotent && got > 2 || !nonIdempotent && got != 20 {
			t.Errorf("non-idempotent %t: got %d in flight, want at most 2 for true and 20 for false", nonIdempotent, got)
		}
		r.failing = false
		if got := r.simulate(20, 2*clock.Second); got != 20 {
			t.Errorf("non-idempotent %t, 2 s after: got %d in flight, want 20", nonIdempotent, got)
		}
	}
}

// TestReservationAfterFailure ends a run early with a failure: its place in the
// quota stays reserved for as long as a successful run would have taken.
func TestReservationAfterFailure(t *testing.T) {
	r := &runs{controller: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "seal", duration: 400}
	r.simulate(10, 4*clock.Second)
	r.failing = true
	r.simulate(10, 4*clock.Second)
	c := NewCall(ClassOf(false, 1), "seal", "", r.now+clock.Hour)
	if v := r.controller.Admit(r.now, c); v != VerdictStart {
		t.Fatalf("admit: got %s, want start", v)
	}
	if got := r.controller.Done(r.now+50, c, ResultError); got < 300 || got > 400 {
		t.Errorf("reservation: got %d ms, want about 350", got)
	}
	if got, want := r.controller.KindStats(r.now, "seal").InFlight, 1; got != want {
		t.Errorf("before the release: got %d runs in the quota, want %d", got, want)
	}
	r.controller.Release(r.now+400, c)
	if got, want := r.controller.KindStats(r.now, "seal").InFlight, 0; got != want {
		t.Errorf("after the release: got %d runs in the quota, want %d", got, want)
	}
}

// TestRootStartInterval keeps nested calls waiting all the time: a root call that
// waits still gets one of rootStartInterval starts.
func TestRootStartInterval(t *testing.T) {
	ct := NewController(1, WithNestedDetection(), WithLimitPolicy(FixedLimit{}))
	admit := func(class Class, kind string, nested bool) *Call {
		c := NewCall(class, kind, "", clock.Hour)
		if nested {
			c.SetNested()
		}
		ct.Admit(0, c)
		return c
	}
	running := admit(ClassOf(true, 1), "table", true)
	var waiting []*Call
	for range defaultQueuePerSlot - 1 {
		waiting = append(waiting, admit(ClassOf(true, 1), "table", true))
	}
	root := admit(ClassOf(false, 1), "cert", false)
	for ends := 1; ends <= rootStartInterval; ends++ {
		ct.Done(clock.Millis(ends), running, ResultOK)
		waiting = append(waiting, admit(ClassOf(true, 1), "table", true))
		if root.state == callRunning {
			return
		}
		running = waiting[slices.IndexFunc(waiting, func(c *Call) bool { return c.state == callRunning })]
	}
	t.Errorf("got no start of the root call in %d starts, want one", rootStartInterval)
}

// TestUsefulUntil refuses a root call that would wait until its answer is late,
// but queues a nested call, whose caller needs a late answer too.
func TestUsefulUntil(t *testing.T) {
	for _, nested := range []bool{false, true} {
		ct := busyController(4)
		c := NewCall(ClassOf(false, 0), "kind", "", 10_000)
		c.SetUsefulUntil(120)
		if nested {
			c.SetNested()
		}
		want := VerdictShed
		if nested {
			want = VerdictQueued
		}
		if got := ct.Admit(100, c); got != want {
			t.Errorf("nested %t: got %s, want %s", nested, got, want)
		}
	}
}
