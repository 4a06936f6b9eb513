package booking

import (
	"testing"

	"cuminhollow.example/clock"
)

// TestClose checks that no call starts after the upstream was closed: neither one
// that waits, whatever ends or is resized meanwhile, nor a new one. Calls start
// again once it is open.
func TestClose(t *testing.T) {
	ct := NewController(2, WithLimitPolicy(FixedLimit{}), WithNestedDetection())
	newCall := func(class Class) *Call { return NewCall(class, "seal", "caller", clock.Hour) }
	var running, waiting []*Call
	for i := range 8 {
		c := newCall(Class(i % NumClasses))
		switch v := ct.Admit(0, c); v {
		case VerdictStart:
			running = append(running, c)
		case VerdictQueued:
			waiting = append(waiting, c)
		default:
			t.Fatalf("call %d: got %s, want it started or queued", i, v)
		}
	}
	if !ct.Close() || ct.Close() {
		t.Error("close twice: got another report than that it was open once")
	}
	for i, c := range waiting {
		select {
		case v := <-c.Decided():
			if v != VerdictClosed {
				t.Errorf("waiting call %d: got %s, want %s", i, v, VerdictClosed)
			}
		default:
			t.Errorf("waiting call %d: got no verdict, want %s", i, VerdictClosed)
		}
	}
	if got, want := ct.Admit(1, newCall(0)), VerdictClosed; got != want {
		t.Errorf("new call: got %s, want %s", got, want)
	}
	ct.Done(2, running[0], ResultOK)
	ct.Resize(3, 4)
	if got := ct.Stats(); got.Running != 1 || got.Waiting != 0 {
		t.Errorf("while closed: got %d running and %d waiting, want 1 and none", got.Running, got.Waiting)
	}
	if got, want := ct.Level(4), Class(NumClasses); got != want {
		t.Errorf("while closed: got level %d, want %d, since nothing is overloaded", got, want)
	}
	if !ct.Open() || ct.Open() {
		t.Error("open twice: got another report than that it was closed once")
	}
	if got, want := ct.Admit(5, newCall(0)), VerdictStart; got != want {
		t.Errorf("new call once open: got %s, want %s", got, want)
	}
}
