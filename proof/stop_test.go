package proof

import (
	"strconv"
	"testing"
	"time"
)

// drainTimeout is the time within which a draining VM must stop getting new
// work.
const drainTimeout = 3 * time.Second

// TestPlannedStop terminates and restarts an owner's node several times under
// load and checks that all calls are answered and that the node exits with
// status 0.
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

// TestPlannedStopOfEntry terminates an entry node while calls are in flight and
// checks that all of them are answered.
func TestPlannedStopOfEntry(t *testing.T) {
	f := startFleet(t, certifyPlan(2, 500*time.Millisecond, 0))
	entry := f.ServiceVMs("desk")[0]
	out := new(resultLog)
	done := make(chan struct{})
	for i := range 12 {
		go func() {
			out.add(call(entry.CallerAddress, "certificate", "stop-"+strconv.Itoa(i)))
			done <- struct{}{}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if err := entry.Node.Terminate(5 * time.Second); err != nil {
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

// TestLeavingGetsNoNewWork drains a VM and checks that it gets no new work. The
// platform is down, so the roster still lists the VM as live.
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
		t.Errorf("runs on the draining VM: got %d, want unchanged %d", got, want)
	}
	checkOutcomes(t, f, "certificate", results)
	checkAllAnswered(t, results)
}
