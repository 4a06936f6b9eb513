package dispatch

import (
	"testing"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// TestTrip leads a call past two VMs that are busy and one that fails: busy ones
// may be asked again, without a bound on the wait; the other one is not.
func TestTrip(t *testing.T) {
	names := []string{"kutch-a-1", "kutch-b-1", "dangs-a-1"}
	r := newTestRouter(t, names...)
	trip := NewAttempts(Request{Service: "sealing", Class: 8, Kind: "seal", TargetTime: clock.Second})
	next := func() string {
		t.Helper()
		pick, err := trip.Next(10, r)
		if err != nil {
			t.Fatalf("next: got %v, want a VM", err)
		}
		return pick.VM.Name()
	}
	first := next()
	if got := trip.MaxWait(); got < minWait {
		t.Errorf("patience: got %d ms, want at least %d", got, minWait)
	}
	r.Target(first).SetEstimate(10, "seal", booking.Estimate{Wait: 400, MeanRunTime: 10, Load: 1})
	trip.End(true)
	if !trip.TakeFailover() {
		t.Fatal("first move: got refused, want it free")
	}
	second := next()
	if second == first {
		t.Errorf("second VM: got %q again while others have room", first)
	}
	trip.End(false)
	for _, n := range names {
		if n != first && n != second {
			r.Target(n).SetEstimate(10, "seal", booking.Estimate{Wait: 900, MeanRunTime: 10, Load: 1})
		}
	}
	if got := next(); got != first {
		t.Errorf("third VM: got %q, want the busy %q again", got, first)
	}
	if got := trip.MaxWait(); got != 0 {
		t.Errorf("patience at a VM that was busy: got %d ms, want no bound", got)
	}
	if got, want := trip.Count(), 3; got != want {
		t.Errorf("tries: got %d, want %d", got, want)
	}
}

// TestTripMoves bounds the VMs that a call may pass without a try.
func TestTripMoves(t *testing.T) {
	trip := NewAttempts(Request{Service: "sealing"})
	for i := range maxFailovers {
		if !trip.TakeFailover() {
			t.Fatalf("move %d: got refused, want it free", i+1)
		}
	}
	if trip.TakeFailover() {
		t.Errorf("move %d: got it free, want it refused", maxFailovers+1)
	}
	if got, want := trip.Failovers(), maxFailovers; got != want {
		t.Errorf("moves: got %d, want %d", got, want)
	}
}
