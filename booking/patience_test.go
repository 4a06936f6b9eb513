package booking

import (
	"testing"

	"cuminhollow.example/clock"
)

// busyDesk returns a desk whose slots are all taken by runs that take as long
// as the ones before, 100 ms.
func busyDesk(slots int) *Controller {
	d := NewController(slots, WithLimitPolicy(FixedLimit{}))
	var calls []*Call
	for range slots {
		c := NewCall(8, "kind", "", clock.Hour)
		d.Admit(0, c)
		calls = append(calls, c)
	}
	for _, c := range calls {
		d.Done(100, c, ResultOK)
	}
	for range slots {
		d.Admit(100, NewCall(8, "kind", "", clock.Hour))
	}
	return d
}

// TestPatience gives calls of different patience to a desk with a wait of
// about 25 ms: those that would wait longer go elsewhere at once.
func TestPatience(t *testing.T) {
	tests := []struct {
		name     string
		patience clock.Millis
		want     Verdict
	}{
		{"none", 0, VerdictBusy},
		{"too little", 20, VerdictBusy},
		{"enough", 40, VerdictQueued},
		{"no bound", -1, VerdictQueued},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := busyDesk(4)
			c := NewCall(8, "kind", "", 10*clock.Second)
			if tt.patience >= 0 {
				c.SetMaxWait(tt.patience)
			}
			if got := d.Admit(101, c); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// TestOutlook checks what a desk tells of itself.
func TestOutlook(t *testing.T) {
	d := busyDesk(4)
	got := d.Estimate(101, 8, "kind")
	if got.Load != 1 || got.MeanRunTime != 100 || got.Wait < 20 || got.Wait > 30 {
		t.Errorf("full desk: got %+v, want load 1, runs of 100 ms and a wait of 25 ms", got)
	}
	d.Resize(101, 8)
	if got := d.Estimate(101, 8, "kind"); got.Wait != 0 || got.Load != 0.5 {
		t.Errorf("after a resize: got %+v, want no wait and load 0.5", got)
	}
	if got := d.Estimate(101, 8, "other"); got.MeanRunTime != 0 {
		t.Errorf("unknown kind: got runs of %.0f ms, want 0", got.MeanRunTime)
	}
}

// TestResizeStartsWaiting gives a desk more slots while calls wait.
func TestResizeStartsWaiting(t *testing.T) {
	d := busyDesk(1)
	c := NewCall(8, "kind", "", 10*clock.Second)
	if got := d.Admit(101, c); got != VerdictQueued {
		t.Fatalf("got %s, want queued", got)
	}
	d.Resize(102, 2)
	select {
	case v := <-c.Decided():
		if v != VerdictStart {
			t.Errorf("got %s, want start", v)
		}
	default:
		t.Error("got the call waiting beside a free slot, want it started")
	}
}
