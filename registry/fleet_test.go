package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// snapshotOf returns a snapshot of one service with perZone VMs in each zone,
// named z<zone>-<number>.
func snapshotOf(t testing.TB, zones, perZone int) *record.Snapshot {
	t.Helper()
	body := "schema: 1\nrevision: 1\nservice: s\nvms:\n"
	for z := range zones {
		for n := range perZone {
			body += fmt.Sprintf("  - {name: z%d-%d, region: r, zone: z%d, address: \"h:1\", state: live}\n", z, n, z)
		}
	}
	store := record.NewStore(new(clock.Manual))
	if c := store.Offer("vms/s", []byte(body), "test"); c.Verdict != record.VerdictAccepted {
		t.Fatalf("roster: got %+v, want it accepted", c)
	}
	return store.Snapshot()
}

// TestTwoWatchersPerZone checks that exactly two nodes of each zone are
// watchers by their own view of the fleet.
func TestTwoWatchersPerZone(t *testing.T) {
	const zones, perZone = 4, 30
	s := snapshotOf(t, zones, perZone)
	for z := range zones {
		watchers := 0
		for n := range perZone {
			if NewFleet(fmt.Sprintf("z%d-%d", z, n), fmt.Sprint("z", z), s).IsWatcher() {
				watchers++
			}
		}
		if got, want := watchers, watchersPerZone; got != want {
			t.Errorf("zone %d: got %d watchers, want %d", z, got, want)
		}
	}
}

func TestFleetOfOne(t *testing.T) {
	f := NewFleet("only", "z", record.NewStore(new(clock.Manual)).Snapshot())
	if !f.IsWatcher() || f.Size() != 1 {
		t.Errorf("got watcher %t, size %d, want a watcher in a fleet of one", f.IsWatcher(), f.Size())
	}
	if m, ok := f.ExchangePeer(rand.IntN); ok {
		t.Errorf("exchange peer: got %+v, want none", m)
	}
	if got := f.PushTargets(rand.IntN); len(got) != 0 {
		t.Errorf("push targets: got %v, want none", got)
	}
}

// TestPushReachesZone checks the spread of a document in a zone of 714 nodes,
// the size that the system is designed for: pushes alone reach at least 90 % of
// the nodes, and exchanges bring the document to the rest within 16 s.
func TestPushReachesZone(t *testing.T) {
	const nodes = 714
	random := rand.New(rand.NewPCG(7, 7))
	s := snapshotOf(t, 1, nodes)
	fleets := make(map[string]*Fleet, nodes)
	for n := range nodes {
		vm := fmt.Sprint("z0-", n)
		fleets[vm] = NewFleet(vm, "z0", s)
	}
	has := map[string]bool{"z0-0": true}
	informed := []string{"z0-0"}
	for len(informed) > 0 {
		var next []string
		for _, vm := range informed {
			for _, m := range fleets[vm].PushTargets(random.IntN) {
				if !has[m.VM] {
					has[m.VM] = true
					next = append(next, m.VM)
				}
			}
		}
		informed = next
	}
	if got, want := len(has), nodes*9/10; got < want {
		t.Errorf("reached by pushes: got %d, want at least %d", got, want)
	}
	rounds := 0
	for ; len(has) < nodes; rounds++ {
		for vm, f := range fleets {
			m, ok := f.ExchangePeer(random.IntN)
			if rounds%2 == 0 {
				m, ok = f.Successors()[0], true
			}
			if ok && has[m.VM] != has[vm] {
				has[vm], has[m.VM] = true, true
			}
		}
	}
	// Two exchanges of a node are at most 3 s apart, with jitter.
	if limit := 16 / 3; rounds > limit {
		t.Errorf("exchange rounds: got %d, want at most %d", rounds, limit)
	}
}

// TestFallbackRate checks that the reads of a fleet whose nodes receive no
// updates stay below the rate limit of the platform at every fleet size.
func TestFallbackRate(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	s := NewSchedule(random.Float64)
	for _, size := range []int{10, 1000, 20_000} {
		total := 0.0
		for range size {
			total += 1000 / float64(s.FallbackDelay(size))
		}
		if limit := 1000.0; total > limit {
			t.Errorf("fleet of %d: got %.0f reads a second, want at most %.0f", size, total, limit)
		}
	}
}

func TestRetryDelayGrows(t *testing.T) {
	s := NewSchedule(func() float64 { return 0.5 })
	tests := []struct {
		failures int
		want     clock.Millis
	}{{1, 500}, {2, 1000}, {5, 8000}, {100, 8000}}
	for _, tt := range tests {
		if got := s.RetryDelay(tt.failures); got != tt.want {
			t.Errorf("after %d failures: got %s, want %s", tt.failures, got, tt.want)
		}
	}
}
