package dispatch

import (
	"strings"
	"testing"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// pickAt picks a VM for a protected request of kind seal at a time.
func pickAt(t *testing.T, r *Router, now, targetTime clock.Millis) Pick {
	t.Helper()
	p, err := r.Pick(now, Request{Service: "sealing", Kind: "seal", TargetTime: targetTime, Class: booking.ClassOf(true, 0)})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestPickByEstimate checks the pick among VMs at different distances that
// report different waits, run times and loads.
func TestPickByEstimate(t *testing.T) {
	names := []string{"kutch-a-1", "kutch-b-1", "dangs-a-1"}
	estimate := func(wait, meanRunTime, load float64) booking.Estimate {
		return booking.Estimate{Wait: wait, MeanRunTime: meanRunTime, Load: load}
	}
	tests := []struct {
		name              string
		zone, region, far booking.Estimate
		targetTime        clock.Millis
		want              string
		after             clock.Millis
	}{
		{name: "equal estimates", zone: estimate(0, 100, 0), region: estimate(0, 100, 0), far: estimate(0, 100, 0), targetTime: 1000, want: "kutch-a"},
		{name: "slightly slower in the zone", zone: estimate(0, 130, 0), region: estimate(0, 100, 0), far: estimate(0, 10, 0), targetTime: 1000, want: "kutch-a"},
		{name: "much slower in the zone", zone: estimate(0, 1200, 0), region: estimate(0, 100, 0), far: estimate(0, 100, 0), targetTime: 1000, want: "kutch-b"},
		{name: "queue in the zone", zone: estimate(300, 100, 1), region: estimate(0, 100, 0), far: estimate(0, 100, 0), targetTime: 1000, want: "kutch-b"},
		{name: "reported wait has passed", zone: estimate(300, 100, 0), region: estimate(0, 100, 0), far: estimate(0, 100, 0), targetTime: 1000, want: "kutch-a", after: 400},
		{name: "queues in the region, within the target time", zone: estimate(300, 100, 1), region: estimate(300, 100, 1), far: estimate(0, 100, 0), targetTime: 2000, want: "kutch-a"},
		{name: "queues in the region, beyond the target time", zone: estimate(900, 100, 1), region: estimate(900, 100, 1), far: estimate(0, 100, 0), targetTime: 1000, want: "dangs-a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t, names...)
			for i, e := range []booking.Estimate{tt.zone, tt.region, tt.far} {
				r.Target(names[i]).SetEstimate(10, "seal", e)
			}
			p := pickAt(t, r, 10+tt.after, tt.targetTime)
			if got := p.VM.Name(); !strings.HasPrefix(got, tt.want) {
				t.Errorf("got %s, want %s", got, tt.want)
			}
			if p.CostMargin < 0 || p.CostMargin == unlimitedMargin {
				t.Errorf("got cost margin %.0f, want the margin to the next best VM", p.CostMargin)
			}
		})
	}
}

// TestWaitOfKind checks that a long reported wait applies only to its own kind
// of work: other kinds may be queued ahead of it and keep their VM, and a later
// report for another kind does not replace the wait.
func TestWaitOfKind(t *testing.T) {
	r := newTestRouter(t, "kutch-a-1", "kutch-b-1")
	for _, name := range []string{"kutch-a-1", "kutch-b-1"} {
		r.Target(name).SetEstimate(10, "seal", booking.Estimate{MeanRunTime: 100})
	}
	zoneVM := r.Target("kutch-a-1")
	zoneVM.SetEstimate(10, "read", booking.Estimate{Wait: 900, MeanRunTime: 100})
	if got := pickAt(t, r, 20, 1000).VM.Name(); got != "kutch-a-1" {
		t.Errorf("wait of another kind: got %s, want kutch-a-1", got)
	}
	zoneVM.SetEstimate(20, "seal", booking.Estimate{Wait: 900, MeanRunTime: 100})
	zoneVM.SetEstimate(20, "read", booking.Estimate{MeanRunTime: 100})
	if got := pickAt(t, r, 30, 1000).VM.Name(); got != "kutch-b-1" {
		t.Errorf("wait of its own kind: got %s, want kutch-b-1", got)
	}
}

// TestErrorRateDecays checks that a VM with errors is used again after a time
// without calls. The only VM of the region returns errors, so the calls go to
// another region; since it then gets no calls, only the decay can bring them
// back.
func TestErrorRateDecays(t *testing.T) {
	r := newTestRouter(t, "kutch-a-1", "dangs-a-1")
	for range 10 {
		target := r.Target("kutch-a-1")
		target.Begin()
		target.End(0, 100, true)
	}
	if got := pickAt(t, r, 10, 500).VM.Name(); got != "dangs-a-1" {
		t.Errorf("while it returns errors: got %s, want dangs-a-1", got)
	}
	if got := pickAt(t, r, 6*clock.Second, 500).VM.Name(); got != "kutch-a-1" {
		t.Errorf("6 s later: got %s, want kutch-a-1", got)
	}
}

// TestCommonErrors checks that errors which all VMs return alike, as when a
// downstream service fails, don't move calls to more distant VMs.
func TestCommonErrors(t *testing.T) {
	names := []string{"kutch-a-1", "kutch-b-1", "dangs-a-1"}
	r := newTestRouter(t, names...)
	for n := range 100 {
		for _, name := range names {
			target := r.Target(name)
			target.Begin()
			target.End(clock.Millis(n), 100, n%3 == 0)
		}
	}
	if got := pickAt(t, r, 100, 1000).VM.Name(); got != "kutch-a-1" {
		t.Errorf("got %s, want kutch-a-1", got)
	}
}
