package dispatch

import (
	"strings"
	"testing"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// pickAt returns the VM that a request of a kind with a target time gets.
func pickAt(t *testing.T, r *Router, now, target clock.Millis) Pick {
	t.Helper()
	p, err := r.Pick(now, Request{Service: "sealing", Kind: "seal", TargetTime: target, Class: booking.ClassOf(true, 0)})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestPickByOutlook tells the router what VMs at different distances say of
// themselves.
func TestPickByOutlook(t *testing.T) {
	names := []string{"kutch-a-1", "kutch-b-1", "dangs-a-1"}
	run := func(wait, run, load float64) booking.Estimate {
		return booking.Estimate{Wait: wait, MeanRunTime: run, Load: load}
	}
	tests := []struct {
		name          string
		near, by, far booking.Estimate
		target        clock.Millis
		want          string
		after         clock.Millis
	}{
		{name: "alike", near: run(0, 100, 0), by: run(0, 100, 0), far: run(0, 100, 0), target: 1000, want: "kutch-a"},
		{name: "a little slower at home", near: run(0, 130, 0), by: run(0, 100, 0), far: run(0, 10, 0), target: 1000, want: "kutch-a"},
		{name: "much slower in the zone", near: run(0, 1200, 0), by: run(0, 100, 0), far: run(0, 100, 0), target: 1000, want: "kutch-b"},
		{name: "queue in the zone", near: run(300, 100, 1), by: run(0, 100, 0), far: run(0, 100, 0), target: 1000, want: "kutch-b"},
		{name: "queue that is over by now", near: run(300, 100, 0), by: run(0, 100, 0), far: run(0, 100, 0), target: 1000, want: "kutch-a", after: 400},
		{name: "queues in the region, in good time", near: run(300, 100, 1), by: run(300, 100, 1), far: run(0, 100, 0), target: 2000, want: "kutch-a"},
		{name: "queues in the region, too long", near: run(900, 100, 1), by: run(900, 100, 1), far: run(0, 100, 0), target: 1000, want: "dangs-a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t, names...)
			for i, o := range []booking.Estimate{tt.near, tt.by, tt.far} {
				r.Target(names[i]).SetEstimate(10, "seal", o)
			}
			p := pickAt(t, r, 10+tt.after, tt.target)
			if got := p.VM.Name(); !strings.HasPrefix(got, tt.want) {
				t.Errorf("got %s, want %s", got, tt.want)
			}
			if p.CostMargin < 0 || p.CostMargin == unlimitedMargin {
				t.Errorf("got spare %.0f, want the advance over the next VM", p.CostMargin)
			}
		})
	}
}

// TestWaitOfKind has a VM tell a long wait for one kind: others, which may come
// before that kind there, go on as before, and what one of them is told does not
// hide the wait.
func TestWaitOfKind(t *testing.T) {
	r := newTestRouter(t, "kutch-a-1", "kutch-b-1")
	for _, name := range []string{"kutch-a-1", "kutch-b-1"} {
		r.Target(name).SetEstimate(10, "seal", booking.Estimate{MeanRunTime: 100})
	}
	near := r.Target("kutch-a-1")
	near.SetEstimate(10, "read", booking.Estimate{Wait: 900, MeanRunTime: 100})
	if got := pickAt(t, r, 20, 1000).VM.Name(); got != "kutch-a-1" {
		t.Errorf("wait of another kind: got %s, want kutch-a-1", got)
	}
	near.SetEstimate(20, "seal", booking.Estimate{Wait: 900, MeanRunTime: 100})
	near.SetEstimate(20, "read", booking.Estimate{MeanRunTime: 100})
	if got := pickAt(t, r, 30, 1000).VM.Name(); got != "kutch-b-1" {
		t.Errorf("wait of its own kind: got %s, want kutch-b-1", got)
	}
}

// TestErrorsFade lets the only VM of the region answer errors and then gives it
// no calls: the work leaves the region, and comes back although nothing was
// heard from the VM since.
func TestErrorsFade(t *testing.T) {
	r := newTestRouter(t, "kutch-a-1", "dangs-a-1")
	for range 10 {
		target := r.Target("kutch-a-1")
		target.Begin()
		target.End(0, 100, true)
	}
	if got := pickAt(t, r, 10, 500).VM.Name(); got != "dangs-a-1" {
		t.Errorf("while it answers errors: got %s, want dangs-a-1", got)
	}
	if got := pickAt(t, r, 6*clock.Second, 500).VM.Name(); got != "kutch-a-1" {
		t.Errorf("6 s later: got %s, want kutch-a-1", got)
	}
}

// TestCommonErrors lets all VMs answer the same errors, as when a service
// further down fails: the work stays where it is.
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
