package proof

import (
	"strconv"
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// chainPlan returns a plan with a chain of three services: sealing calls
// dispatching, which calls certifying. No kind of work is idempotent.
func chainPlan(vms int) fleet.Plan {
	locations := fleet.SpreadOverZones(vms, "kutch", "panchmahal", "dangs")
	return fleet.Plan{
		Services: []fleet.Service{
			{Name: "sealing", Locations: locations, Slots: 32, ServiceTime: 2 * time.Millisecond, NestedKinds: []string{"lot"}},
			{Name: "dispatching", Locations: locations, Slots: 32, ServiceTime: 2 * time.Millisecond, NestedKinds: []string{"certificate"}},
			{Name: "certifying", Locations: locations, Slots: 16, ServiceTime: 2 * time.Millisecond},
		},
		Records: fleet.FormatRecords(
			fleet.Kind{Name: "seal", Service: "sealing", TargetTime: 2 * time.Second, Retries: 2, Protected: true},
			fleet.Kind{Name: "lot", Service: "dispatching", TargetTime: 2 * time.Second, Retries: 2, Protected: true},
			fleet.Kind{Name: "certificate", Service: "certifying", TargetTime: 2 * time.Second, Retries: 2, Protected: true},
		),
	}
}

// TestChainAnswers sends requests through a chain of three services and checks
// that each request is answered and that each step of it ran once.
func TestChainAnswers(t *testing.T) {
	f := startFleet(t, chainPlan(2))
	var results []result
	for i := range 60 {
		v := f.VMs[i%len(f.VMs)]
		results = append(results, call(v.CallerAddress, "seal", "seal-"+strconv.Itoa(i)))
	}
	checkAllAnswered(t, results)
	for _, kind := range []string{"seal", "lot", "certificate"} {
		checkOutcomes(t, f, kind, results)
		if got, want := len(f.Runs(kind)), len(results); got != want {
			t.Errorf("%s: got %d runs, want %d", kind, got, want)
		}
	}
}
