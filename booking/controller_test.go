package booking

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cuminhollow.example/clock"
)

// simulation drives a controller with random arrivals, ends and pauses and
// counts the running and waiting calls itself.
type simulation struct {
	now        clock.Millis
	controller *Controller
	slots      int
	// quotas is set if quotas may keep root calls waiting while slots are free.
	quotas  bool
	running []*Call
	waiting []*Call
	// reserved holds ended calls that still count in the quota of their kind.
	reserved []*Call
	// closed is set while the controller is closed.
	closed bool
}

// collect removes calls with a verdict from the waiting ones and checks the
// invariants.
func (s *simulation) collect(t *rapid.T) {
	kept := s.waiting[:0]
	for _, c := range s.waiting {
		select {
		case v := <-c.Decided():
			if v == VerdictStart && s.closed {
				t.Fatal("got a start while the controller is closed, want none")
			}
			if v == VerdictStart {
				s.running = append(s.running, c)
			}
		default:
			kept = append(kept, c)
		}
	}
	s.waiting = kept
	st := s.controller.Stats()
	if st.Limit < 1 || st.Limit > s.slots {
		t.Fatalf("limit: got %d, want 1 to %d", st.Limit, s.slots)
	}
	if st.Running != len(s.running) || st.Waiting != len(s.waiting) {
		t.Fatalf("counts: got %+v, want %d running and %d waiting", st, len(s.running), len(s.waiting))
	}
	if st.Running > s.slots {
		t.Fatalf("running: got %d, want at most %d", st.Running, s.slots)
	}
	if s.closed && st.Waiting > 0 {
		t.Fatalf("got %d calls that wait while the controller is closed, want none", st.Waiting)
	}
	forSlot := st.Waiting
	if s.quotas {
		forSlot = s.controller.waitingForSlot()
	}
	if forSlot > 0 && st.Running < st.Limit {
		t.Fatalf("got %d idle slots while %d calls wait, want none", st.Limit-st.Running, forSlot)
	}
}

// TestControllerInvariants checks the limits, the counts and that no slot is idle
// while calls wait, for random load, service times, faults and pauses.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{slots: rapid.IntRange(1, 20).Draw(t, "slots"), quotas: rapid.Bool().Draw(t, "quotas")}
		s.controller = NewController(s.slots, WithoutQuotas())
		if s.quotas {
			s.controller = NewController(s.slots)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				class := Class(rapid.IntRange(0, NumClasses-1).Draw(t, "class"))
				kind := fmt.Sprint("kind-", rapid.IntRange(0, 2).Draw(t, "kind"))
				c := NewCall(class, kind, "caller", s.now+clock.Millis(rapid.IntRange(-10, 2000).Draw(t, "left")))
				switch v := s.controller.Admit(s.now, c); v {
				case VerdictStart:
					s.running = append(s.running, c)
				case VerdictQueued:
					s.waiting = append(s.waiting, c)
				case VerdictExpired, VerdictShed, VerdictBusy, VerdictDownstreamOverload, VerdictClosed:
				}
				if s.closed && c.state != callEnded {
					t.Fatal("got a call admitted while the controller is closed, want it refused")
				}
			},
			"close": func(*rapid.T) {
				s.controller.Close()
				s.closed = true
			},
			"open": func(*rapid.T) {
				s.controller.Open()
				s.closed = false
			},
			"end": func(t *rapid.T) {
				if len(s.running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(s.running)-1).Draw(t, "call")
				c := s.running[i]
				s.running = append(s.running[:i], s.running[i+1:]...)
				r := Result(rapid.IntRange(int(ResultOK), int(ResultCancelled)).Draw(t, "result"))
				if reservedFor := s.controller.Done(s.now, c, r); reservedFor > 0 {
					s.reserved = append(s.reserved, c)
				}
			},
			"release": func(t *rapid.T) {
				if n := len(s.reserved); n > 0 {
					s.controller.Release(s.now, s.reserved[n-1])
					s.reserved = s.reserved[:n-1]
				}
			},
			"overload": func(t *rapid.T) {
				s.controller.ObserveDownstreamOverload(s.now, rapid.Float64Range(0, 1).Draw(t, "overload"))
			},
			"cancel": func(t *rapid.T) {
				if len(s.waiting) == 0 {
					return
				}
				i := rapid.IntRange(0, len(s.waiting)-1).Draw(t, "call")
				if s.controller.Cancel(s.waiting[i]) {
					s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				}
			},
			"pause": func(t *rapid.T) {
				s.now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "span"))
			},
			"": s.collect,
		})
	})
}

// TestShedsUnprotectedFirst fills a controller with random work and checks that
// no call is shed while one of a higher class stays in the queue.
func TestShedsUnprotectedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ct := NewController(1, WithQueueLength(5), WithLimitPolicy(FixedLimit{}))
		var waiting []*Call
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			class := Class(rapid.IntRange(0, NumClasses-1).Draw(t, "class"))
			kind := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "kind"))
			c := NewCall(class, kind, "", clock.Hour)
			v := ct.Admit(0, c)
			lowest := class
			kept := waiting[:0]
			for _, w := range waiting {
				select {
				case <-w.Decided():
					lowest = max(lowest, w.class)
				default:
					kept = append(kept, w)
				}
			}
			shed := len(kept) < len(waiting) || v == VerdictShed
			waiting = kept
			if v == VerdictQueued {
				waiting = append(waiting, c)
			}
			for _, w := range waiting {
				if shed && w.class > lowest {
					t.Fatalf("class %d was shed, want class %d shed first", lowest, w.class)
				}
			}
		}
	})
}

// TestFairShare floods a controller with calls of one kind: another kind of the
// same class still gets the starts it asks for, up to half of all.
func TestFairShare(t *testing.T) {
	for _, demand := range []int{10, 30, 50, 80} {
		t.Run(fmt.Sprint("demand-", demand), func(t *testing.T) {
			served := flood(demand, 1000, "")
			want := min(demand, 50) * 9 / 10
			if got := served["modest"]; got < want {
				t.Errorf("modest kind: got %d of 100 starts, want at least %d", got, want)
			}
			if got := served["modest"] + served["flood"]; got < 95 {
				t.Errorf("all kinds: got %d of 100 starts, want at least 95", got)
			}
		})
	}
}

// flood sends calls of the kinds "modest" and "flood", the given numbers per
// 100 ms, to a controller that runs one call each millisecond. It returns the
// mean number of starts in 100 ms by kind.
func flood(modest, flood int, caller string) map[string]int {
	const rounds, span = 20, 100
	ct := NewController(1, WithLimitPolicy(FixedLimit{}), WithQueueLength(64))
	served := make(map[string]int)
	waiting := make(map[*Call]bool)
	var running *Call
	for now := clock.Millis(0); now < rounds*span; now++ {
		if running != nil {
			ct.Done(now, running, ResultOK)
			running = nil
		}
		arrive := func(kind string, perSpan int) {
			n := int(now) * perSpan / span
			for range (int(now)+1)*perSpan/span - n {
				c := NewCall(firstUnprotected, kind, caller, now+400)
				switch ct.Admit(now, c) {
				case VerdictStart:
					running = c
					served[kind]++
				case VerdictQueued:
					waiting[c] = true
				case VerdictExpired, VerdictShed, VerdictBusy, VerdictDownstreamOverload, VerdictClosed:
				}
			}
		}
		arrive("flood", flood)
		arrive("modest", modest)
		for c := range waiting {
			select {
			case v := <-c.Decided():
				delete(waiting, c)
				if v == VerdictStart {
					running = c
					served[c.kind]++
				}
			default:
			}
		}
	}
	for kind := range served {
		served[kind] /= rounds
	}
	return served
}

// TestLimitAfterStep lets all calls succeed, then be refused, then succeed again:
// the limit drops to a quarter of the slots within a second, and is back at the
// slots within two seconds after calls succeed again.
func TestLimitAfterStep(t *testing.T) {
	const slots = 64
	ct := NewController(slots)
	now := clock.Millis(0)
	run := func(span clock.Millis, r Result) int {
		for end := now + span; now < end; now += 5 {
			var calls []*Call
			for range 2 * slots {
				c := NewCall(0, "kind", "", now+clock.Hour)
				if ct.Admit(now, c) == VerdictStart {
					calls = append(calls, c)
				} else {
					ct.Cancel(c)
				}
			}
			for _, c := range calls {
				ct.Done(now+5, c, r)
			}
		}
		return ct.Stats().Limit
	}
	if got, want := ct.Stats().Limit, slots/slowStartDivisor; got != want {
		t.Errorf("slow start: got limit %d, want %d", got, want)
	}
	if got, want := run(2*clock.Second, ResultOK), slots; got != want {
		t.Errorf("after 2 s of success: got limit %d, want %d", got, want)
	}
	if got, want := run(clock.Second, ResultOverload), slots/4; got > want {
		t.Errorf("after 1 s of overload: got limit %d, want at most %d", got, want)
	}
	if got, want := run(2*clock.Second, ResultOK), slots; got != want {
		t.Errorf("after 2 s of recovery: got limit %d, want %d", got, want)
	}
}

func TestClassOf(t *testing.T) {
	tests := []struct {
		protected bool
		rank      int
		want      Class
	}{
		{true, 0, 0},
		{true, 7, 7},
		{false, 0, 8},
		{false, 7, 15},
		{false, 99, 15},
		{true, -1, 0},
	}
	for _, tt := range tests {
		got := ClassOf(tt.protected, tt.rank)
		if got != tt.want || got.Protected() != tt.protected {
			t.Errorf("ClassOf(%t, %d): got %d, want %d", tt.protected, tt.rank, got, tt.want)
		}
	}
}

// BenchmarkAdmit measures the admission and end of calls that find a free slot.
func BenchmarkAdmit(b *testing.B) {
	ct := NewController(1<<20, WithLimitPolicy(FixedLimit{}))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c := NewCall(3, "kind", "caller", clock.Hour)
			ct.Admit(1, c)
			ct.Done(2, c, ResultOK)
		}
	})
}
