package proof

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// failingChain sends requests through a chain of three services whose deepest
// one refuses everything, and returns the calls that reach it for each request.
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
	deepest := f.ServiceVMs("certifying")
	for _, v := range deepest {
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
	for _, v := range deepest {
		n, err := f.Attempts(v)
		if err != nil {
			t.Fatal(err)
		}
		total += n
	}
	return float64(total) / requests
}

// TestTriesOverChain compares the calls at the deepest service with the bound
// of the root's record, and with retries at every hop in the same run.
func TestTriesOverChain(t *testing.T) {
	budget := attemptsOverFailingChain(t, nil)
	early := attemptsOverFailingChain(t, []string{`early: "off"`})
	perHop := attemptsOverFailingChain(t, []string{"retries: per-hop", `early: "off"`})
	t.Logf("calls at the deepest service for each request: budget %.2f, without early refusal %.2f, per hop %.2f", budget, early, perHop)
	if got, limit := early, 3.0; got > limit {
		t.Errorf("budget: got %.2f calls a request, want at most %.0f", got, limit)
	}
	if perHop <= early {
		t.Errorf("per hop: got %.2f calls a request, want more than the %.2f of the budget", perHop, early)
	}
}
