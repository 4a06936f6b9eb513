package dispatch

import (
	"testing"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// TestAttempts checks that a VM which was busy is picked again, then without a
// limit on the queue wait, while a VM that failed is not.
func TestAttempts(t *testing.T) {
	names := []string{"kutch-a-1", "kutch-b-1", "dangs-a-1"}
	r := newTestRouter(t, names...)
	attempts := NewAttempts(Request{Service: "sealing", Class: 8, Kind: "seal", TargetTime: clock.Second})
	next := func() string {
		t.Helper()
		pick, err := attempts.Next(10, r)
		if err != nil {
			t.Fatalf("next: got %v, want a VM", err)
		}
		return pick.VM.Name()
	}
	first := next()
	if got := attempts.MaxWait(); got < minWait {
		t.Errorf("maximum wait: got %d ms, want at least %d", got, minWait)
	}
	r.Target(first).SetEstimate(10, "seal", booking.Estimate{Wait: 400, MeanRunTime: 10, Load: 1})
	attempts.End(true)
	if !attempts.TakeFailover() {
		t.Fatal("first failover: got false, want true")
	}
	second := next()
	if second == first {
		t.Errorf("second VM: got %q again, want a VM that is not busy", first)
	}
	attempts.End(false)
	for _, n := range names {
		if n != first && n != second {
			r.Target(n).SetEstimate(10, "seal", booking.Estimate{Wait: 900, MeanRunTime: 10, Load: 1})
		}
	}
	if got := next(); got != first {
		t.Errorf("third VM: got %q, want the busy %q again", got, first)
	}
	if got := attempts.MaxWait(); got != 0 {
		t.Errorf("maximum wait at a VM that was busy: got %d ms, want 0 (no limit)", got)
	}
	if got, want := attempts.Count(), 3; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}

// TestFailoverLimit checks the number of attempts that don't count as tries.
func TestFailoverLimit(t *testing.T) {
	attempts := NewAttempts(Request{Service: "sealing"})
	for i := range maxFailovers {
		if !attempts.TakeFailover() {
			t.Fatalf("failover %d: got false, want true", i+1)
		}
	}
	if attempts.TakeFailover() {
		t.Errorf("failover %d: got true, want false", maxFailovers+1)
	}
	if got, want := attempts.Failovers(), maxFailovers; got != want {
		t.Errorf("failovers: got %d, want %d", got, want)
	}
}
