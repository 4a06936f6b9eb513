package booking

import (
	"testing"

	"cuminhollow.example/clock"
)

// busyController returns a controller whose slots are all taken, and which has
// seen one run of 100 ms in each.
func busyController(slots int) *Controller {
	ct := NewController(slots, WithLimitPolicy(FixedLimit{}))
	var calls []*Call
	for range slots {
		c := NewCall(8, "kind", "", clock.Hour)
		ct.Admit(0, c)
		calls = append(calls, c)
	}
	for _, c := range calls {
		ct.Done(100, c, ResultOK)
	}
	for range slots {
		ct.Admit(100, NewCall(8, "kind", "", clock.Hour))
	}
	return ct
}

// TestMaxWait sends calls with different maximum waits to a controller with a
// wait of about 25 ms: those that would wait longer are refused at once, so that
// they can be sent elsewhere.
func TestMaxWait(t *testing.T) {
	tests := []struct {
		name    string
		maxWait clock.Millis
		want    Verdict
	}{
		{"no wait", 0, VerdictBusy},
		{"too short", 20, VerdictBusy},
		{"long enough", 40, VerdictQueued},
		{"no bound", -1, VerdictQueued},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ct := busyController(4)
			c := NewCall(8, "kind", "", 10*clock.Second)
			if tt.maxWait >= 0 {
				c.SetMaxWait(tt.maxWait)
			}
			if got := ct.Admit(101, c); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestEstimate checks the estimates of a controller without free slots, then with
// free slots, and for a kind without runs.
func TestEstimate(t *testing.T) {
	ct := busyController(4)
	got := ct.Estimate(101, 8, "kind")
	if got.Load != 1 || got.MeanRunTime != 100 || got.Wait < 20 || got.Wait > 30 {
		t.Errorf("no free slot: got %+v, want load 1, runs of 100 ms and a wait of 25 ms", got)
	}
	ct.Resize(101, 8)
	if got := ct.Estimate(101, 8, "kind"); got.Wait != 0 || got.Load != 0.5 {
		t.Errorf("after a resize: got %+v, want no wait and load 0.5", got)
	}
	if got := ct.Estimate(101, 8, "other"); got.MeanRunTime != 0 {
		t.Errorf("unknown kind: got runs of %.0f ms, want 0", got.MeanRunTime)
	}
}

// TestResizeStartsWaiting adds a slot while a call waits: the call starts.
func TestResizeStartsWaiting(t *testing.T) {
	ct := busyController(1)
	c := NewCall(8, "kind", "", 10*clock.Second)
	if got := ct.Admit(101, c); got != VerdictQueued {
		t.Fatalf("got %s, want queued", got)
	}
	ct.Resize(102, 2)
	select {
	case v := <-c.Decided():
		if v != VerdictStart {
			t.Errorf("got %s, want start", v)
		}
	default:
		t.Error("got the call waiting while a slot is free, want it started")
	}
}
