package proof

import (
	"strconv"
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// chainPlan is a chain of three services: sealing calls dispatching, which
// calls certifying. Only certifying is not idempotent.
func chainPlan(vms int) fleet.Plan {
	places := fleet.Spread(vms, "kutch", "panchmahal", "dangs")
	return fleet.Plan{
		Services: []fleet.Service{
			{Name: "sealing", Places: places, Slots: 32, ServiceTime: 2 * time.Millisecond, Onward: []string{"lot"}},
			{Name: "dispatching", Places: places, Slots: 32, ServiceTime: 2 * time.Millisecond, Onward: []string{"certificate"}},
			{Name: "certifying", Places: places, Slots: 16, ServiceTime: 2 * time.Millisecond},
		},
		Records: fleet.Records(
			fleet.Work{Kind: "seal", Service: "sealing", Target: 2 * time.Second, Retries: 2, Protected: true},
			fleet.Work{Kind: "lot", Service: "dispatching", Target: 2 * time.Second, Retries: 2, Protected: true},
			fleet.Work{Kind: "certificate", Service: "certifying", Target: 2 * time.Second, Retries: 2, Protected: true},
		),
	}
}

// TestChainAnswers sends requests through a chain of three services and checks
// that each is answered whole and that each step ran once.
func TestChainAnswers(t *testing.T) {
	f := startFleet(t, chainPlan(2))
	var results []result
	for i := range 60 {
		v := f.VMs[i%len(f.VMs)]
		results = append(results, call(v.CallerAddress, "seal", "seal-"+strconv.Itoa(i)))
	}
	checkAllAnswered(t, results)
	for _, kind := range []string{"seal", "lot", "certificate"} {
		checkTruth(t, f, kind, results)
		if got, want := len(f.Runs(kind)), len(results); got != want {
			t.Errorf("%s: got %d runs, want %d", kind, got, want)
		}
	}
}
