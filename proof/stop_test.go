package proof

import (
	"strconv"
	"testing"
	"time"
)

// stopNewWork is the time after which a leaving upstream may get no new work.
const drainTimeout = 3 * time.Second

// TestPlannedStop asks an owner's node to stop under load, over and over: no
// call is cut off, and the node ends by itself.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 40*time.Millisecond, 2))
	owner := f.ServiceVMs("certifying")[0]
	results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 24, 5*time.Second, func() {
		for range 3 {
			time.Sleep(600 * time.Millisecond)
			if err := owner.Node.Terminate(5 * time.Second); err != nil {
				t.Errorf("planned stop: got %v, want exit status 0", err)
			}
			if err := owner.Node.Restart(); err != nil {
				t.Error(err)
			}
		}
	}).all()
	checkOutcomes(t, f, "certificate", results)
	checkAllAnswered(t, results)
}

// TestPlannedStopOfEntry asks an entry's node to stop while callers wait: the
// calls in flight are answered, later ones are refused or not connected.
func TestPlannedStopOfEntry(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 500*time.Millisecond, 0))
	desk := f.ServiceVMs("desk")[0]
	out := new(resultLog)
	done := make(chan struct{})
	for i := range 12 {
		go func() {
			out.add(call(desk.CallerAddress, "certificate", "stop-"+strconv.Itoa(i)))
			done <- struct{}{}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if err := desk.Node.Terminate(5 * time.Second); err != nil {
		t.Errorf("planned stop: got %v, want exit status 0", err)
	}
	for range 12 {
		<-done
	}
	checkOutcomes(t, f, "certificate", out.all())
	if got, want := out.count("answered"), 12; got != want {
		t.Errorf("answered: got %d, want %d", got, want)
	}
}

// TestLeavingGetsNoNewWork drains a VM while the platform is down, so that the
// list still names it as live.
func TestLeavingGetsNoNewWork(t *testing.T) {
	f := startFleet(t, certifyPlan(3, 10*time.Millisecond, 1))
	if err := f.SetPlatformMode("down"); err != nil {
		t.Fatal(err)
	}
	owner := f.ServiceVMs("certifying")[0]
	before := make(chan int, 1)
	results := generateLoadFor(f.ServiceVMs("desk"), "certificate", 16, 2*drainTimeout, func() {
		time.Sleep(500 * time.Millisecond)
		if err := f.Drain(owner); err != nil {
			t.Error(err)
		}
		time.Sleep(drainTimeout)
		before <- f.RunsOn(owner)
	}).all()
	if got, want := f.RunsOn(owner), <-before; got != want {
		t.Errorf("runs on the leaving VM: got %d, want the %d of before", got, want)
	}
	checkOutcomes(t, f, "certificate", results)
	checkAllAnswered(t, results)
}
