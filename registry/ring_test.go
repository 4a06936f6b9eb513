package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestRingFindsEveryNode lets random nodes of a fleet be down. Every live node
// must be the nearest live successor of another one by that node's own view, so
// that a node which knows nobody is found by design and not by chance.
func TestRingFindsEveryNode(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for _, size := range []struct{ zones, perZone int }{{1, 2}, {1, 7}, {3, 1}, {4, 30}} {
		s := snapshotOf(t, size.zones, size.perZone)
		for round := range 50 {
			down := make(map[string]bool)
			fleets := make(map[string]*Fleet)
			for z := range size.zones {
				for n := range size.perZone {
					vm := fmt.Sprintf("z%d-%d", z, n)
					down[vm] = random.IntN(100) < 30 && len(fleets) > 1
					fleets[vm] = NewFleet(vm, fmt.Sprint("z", z), s)
				}
			}
			found := make(map[string]bool)
			for vm, f := range fleets {
				if down[vm] {
					continue
				}
				for _, m := range f.Successors() {
					if !down[m.VM] {
						found[m.VM] = true
						break
					}
				}
			}
			for vm := range fleets {
				if !down[vm] && !found[vm] {
					t.Fatalf("%d zones of %d, round %d: nobody finds %s", size.zones, size.perZone, round, vm)
				}
			}
		}
	}
}

func TestSuccessors(t *testing.T) {
	s := snapshotOf(t, 2, 6)
	f := NewFleet("z0-4", "z0", s)
	var got []string
	for _, m := range f.Successors() {
		got = append(got, m.VM)
	}
	if want := "[z0-5 z1-0 z1-1 z1-2 z1-3 z1-4 z1-5 z0-0]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
	if got := NewFleet("new", "z9", s).Successors(); len(got) != maxRingSteps || got[0].VM != "z0-0" {
		t.Errorf("node that is not listed: got %v, want the ring from its start", got)
	}
}
