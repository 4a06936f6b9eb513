package booking

import (
	"slices"
	"testing"

	"cuminhollow.example/clock"
)

// runs plays runs of one kind, a number in flight at a time, for a span. Each
// takes a duration; strain is what each onward call tells.
type runs struct {
	desk     *Controller
	now      clock.Millis
	kind     string
	duration clock.Millis
	strain   float64
	failing  bool
	once     bool
}

// play offers more calls than may start, and returns the largest number that
// was in flight in the last round.
func (r *runs) play(offered int, span clock.Millis) int {
	most := 0
	for end := r.now + span; r.now < end; {
		var started []*Call
		for range offered {
			c := NewCall(ClassOf(false, 1), r.kind, "", r.now+clock.Hour)
			if r.once {
				c.SetNonIdempotent()
			}
			if r.desk.Admit(r.now, c) == VerdictStart {
				started = append(started, c)
			} else {
				r.desk.Cancel(c)
			}
		}
		most = len(started)
		r.now += r.duration
		for _, c := range started {
			r.desk.ObserveDownstreamOverload(r.now, r.strain)
			result := ResultOK
			if r.failing {
				result = ResultError
			}
			if r.desk.Done(r.now, c, result) > 0 {
				r.desk.Release(r.now, c)
			}
		}
	}
	return most
}

// TestQuotaUnderStrain slows runs down while their onward calls tell of full
// services, and then lets them be: the runs in flight fall, and return.
func TestQuotaUnderStrain(t *testing.T) {
	r := &runs{desk: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "history", duration: 100}
	calm := r.play(20, 4*clock.Second)
	if calm != 20 {
		t.Fatalf("calm: got %d in flight, want all 20", calm)
	}
	r.duration, r.strain = 300, 0.8
	if got, want := r.play(40, 4*clock.Second), calm/2; got > want {
		t.Errorf("under strain: got %d in flight, want at most %d", got, want)
	}
	r.duration, r.strain = 100, 0
	if got := r.play(20, 2*clock.Second); got != calm {
		t.Errorf("2 s after: got %d in flight, want %d", got, calm)
	}
}

// TestQuotaOfKindsThatStrainDoesNotConcern keeps runs as fast and as good as
// before while the upstream's onward calls, made for other kinds, tell of full
// services.
func TestQuotaOfKindsThatStrainDoesNotConcern(t *testing.T) {
	r := &runs{desk: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "booking", duration: 100}
	r.play(20, 4*clock.Second)
	r.strain = 1
	if got, want := r.play(20, 4*clock.Second), 20; got != want {
		t.Errorf("got %d in flight, want %d", got, want)
	}
}

// TestFailingWorkThatIsNotIdempotent lets nearly all runs of a kind fail though
// no service is full: only work that may be repeated goes on in full.
func TestFailingWorkThatIsNotIdempotent(t *testing.T) {
	for _, once := range []bool{true, false} {
		r := &runs{desk: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "seal", duration: 100, once: once}
		r.play(20, 4*clock.Second)
		r.failing = true
		got := r.play(20, 4*clock.Second)
		if once && got > 2 || !once && got != 20 {
			t.Errorf("once %t: got %d in flight, want few for true and 20 for false", once, got)
		}
		r.failing = false
		if got := r.play(20, 2*clock.Second); got != 20 {
			t.Errorf("once %t, 2 s after: got %d in flight, want 20", once, got)
		}
	}
}

// TestHoldAfterFailure ends a run early with a failure: its place stays taken
// for as long as a good run would have taken.
func TestHoldAfterFailure(t *testing.T) {
	r := &runs{desk: NewController(100, WithLimitPolicy(FixedLimit{})), kind: "seal", duration: 400}
	r.play(10, 4*clock.Second)
	r.failing = true
	r.play(10, 4*clock.Second)
	c := NewCall(ClassOf(false, 1), "seal", "", r.now+clock.Hour)
	if v := r.desk.Admit(r.now, c); v != VerdictStart {
		t.Fatalf("admit: got %s, want start", v)
	}
	if got := r.desk.Done(r.now+50, c, ResultError); got < 300 || got > 400 {
		t.Errorf("hold: got %d ms, want about 350", got)
	}
	if got, want := r.desk.KindStats(r.now, "seal").InFlight, 1; got != want {
		t.Errorf("before the release: got %d places taken, want %d", got, want)
	}
	r.desk.Release(r.now+400, c)
	if got, want := r.desk.KindStats(r.now, "seal").InFlight, 0; got != want {
		t.Errorf("after the release: got %d places taken, want %d", got, want)
	}
}

// TestTurnsOfFirstCalls keeps more onward calls waiting than there are slots: a
// first call that waits still starts within its turn.
func TestTurnsOfFirstCalls(t *testing.T) {
	d := NewController(1, WithNestedDetection(), WithLimitPolicy(FixedLimit{}))
	admit := func(class Class, kind string, onward bool) *Call {
		c := NewCall(class, kind, "", clock.Hour)
		if onward {
			c.SetNested()
		}
		d.Admit(0, c)
		return c
	}
	running := admit(ClassOf(true, 1), "table", true)
	var waiting []*Call
	for range defaultQueuePerSlot - 1 {
		waiting = append(waiting, admit(ClassOf(true, 1), "table", true))
	}
	first := admit(ClassOf(false, 1), "cert", false)
	for ends := 1; ends <= rootStartInterval; ends++ {
		d.Done(clock.Millis(ends), running, ResultOK)
		waiting = append(waiting, admit(ClassOf(true, 1), "table", true))
		if first.state == callRunning {
			return
		}
		running = waiting[slices.IndexFunc(waiting, func(c *Call) bool { return c.state == callRunning })]
	}
	t.Errorf("got no start of the first call in %d, want one", rootStartInterval)
}

// TestUseful refuses a first call that would wait until its answer is late, but
// lets an onward call wait: its caller needs the answer all the same.
func TestUseful(t *testing.T) {
	for _, onward := range []bool{false, true} {
		d := busyDesk(4)
		c := NewCall(ClassOf(false, 0), "kind", "", 10_000)
		c.SetUsefulUntil(120)
		if onward {
			c.SetNested()
		}
		want := VerdictShed
		if onward {
			want = VerdictQueued
		}
		if got := d.Admit(100, c); got != want {
			t.Errorf("onward %t: got %s, want %s", onward, got, want)
		}
	}
}
