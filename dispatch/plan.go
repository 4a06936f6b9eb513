package dispatch

import (
	"cmp"
	"slices"

	"cuminhollow.example/record"
)

// subsetSize is the number of VMs of each tier and service that a node uses.
const subsetSize = 16

// choice is a VM that may be picked.
type choice struct {
	vm     record.VM
	target *Target
}

// plan is the immutable subset of one service, by tier.
type plan struct {
	roster *record.Roster
	tiers  [tiers][]choice
}

// newPlan selects, in each tier, the VMs that rendezvous hashing of the node
// and the VM ranks highest: a change of one VM moves few nodes, and the load
// of a VM's nodes is even over the service.
func newPlan(self string, place Place, roster *record.Roster, target func(string) *Target) *plan {
	p := &plan{roster: roster}
	for _, v := range roster.VMs() {
		if v.State() != record.StateLive {
			continue
		}
		tier := place.tierOf(Place{Region: v.Region(), Zone: v.Zone()})
		p.tiers[tier] = append(p.tiers[tier], choice{vm: v})
	}
	for i := range p.tiers {
		p.tiers[i] = subset(self, p.tiers[i])
		for j := range p.tiers[i] {
			c := &p.tiers[i][j]
			c.target = target(c.vm.Name())
		}
	}
	return p
}

func subset(self string, choices []choice) []choice {
	slices.SortFunc(choices, func(a, b choice) int {
		return cmp.Compare(record.RendezvousWeight(self, b.vm.Name()), record.RendezvousWeight(self, a.vm.Name()))
	})
	if len(choices) > subsetSize {
		choices = slices.Clone(choices[:subsetSize])
	}
	return choices
}
