package proof

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// attemptsOverFailingChain sends requests through a chain of three services whose
// last service rejects every call. It returns the number of calls that reach the
// last service per request.
func attemptsOverFailingChain(t *testing.T, policy []string) float64 {
	t.Helper()
	const requests = 60
	plan := chainPlan(3)
	plan.Policy = policy
	for kind, service := range map[string]string{"seal": "sealing", "lot": "dispatching", "certificate": "certifying"} {
		plan.Records[kind] = fleet.FormatRecord(1, fleet.Kind{
			Name: kind, Service: service, TargetTime: 2 * time.Second, Retries: 2, Idempotent: true,
		})
	}
	f := startFleet(t, plan)
	lastVMs := f.ServiceVMs("certifying")
	for _, v := range lastVMs {
		if err := f.SetUpstream(v, "draining=true"); err != nil {
			t.Fatal(err)
		}
	}
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			call(f.VMs[i%3].CallerAddress, "seal", "seal-"+strconv.Itoa(i))
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	total := 0
	for _, v := range lastVMs {
		n, err := f.Attempts(v)
		if err != nil {
			t.Fatal(err)
		}
		total += n
	}
	return float64(total) / requests
}

// TestTriesOverChain checks that the calls per request at the last service of a
// chain stay within the tries of the root call's record, and that they are fewer
// than with independent retries at every hop.
func TestTriesOverChain(t *testing.T) {
	budget := attemptsOverFailingChain(t, nil)
	withoutEarly := attemptsOverFailingChain(t, []string{`early: "off"`})
	perHop := attemptsOverFailingChain(t, []string{"retries: per-hop", `early: "off"`})
	t.Logf("calls at the last service per request: budget %.2f, without early rejection %.2f, per hop %.2f", budget, withoutEarly, perHop)
	if got, limit := withoutEarly, 3.0; got > limit {
		t.Errorf("budget without early rejection: got %.2f calls per request, want at most %.0f", got, limit)
	}
	if perHop <= withoutEarly {
		t.Errorf("per hop: got %.2f calls per request, want more than the %.2f with a budget", perHop, withoutEarly)
	}
}
