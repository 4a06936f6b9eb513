package dispatch

import (
	"cmp"
	"slices"

	"cuminhollow.example/record"
)

// subsetSize is the number of VMs of each tier and service that a node uses.
const subsetSize = 16

// choice is a VM that may be picked.
type candidate struct {
	vm     record.VM
	target *Target
}

// plan is the immutable subset of one service, by tier.
type serviceSubset struct {
	roster *record.Roster
	tiers  [numTiers][]candidate
}

// newPlan selects, in each tier, the VMs that rendezvous hashing of the node
// and the VM ranks highest: a change of one VM moves few nodes, and the load
// of a VM's nodes is even over the service.
func newServiceSubset(self string, place Locality, roster *record.Roster, target func(string) *Target) *serviceSubset {
	p := &serviceSubset{roster: roster}
	for _, v := range roster.VMs() {
		if v.State() != record.StateLive {
			continue
		}
		tier := place.tierOf(Locality{Region: v.Region(), Zone: v.Zone()})
		p.tiers[tier] = append(p.tiers[tier], candidate{vm: v})
	}
	for i := range p.tiers {
		p.tiers[i] = selectSubset(self, p.tiers[i])
		for j := range p.tiers[i] {
			c := &p.tiers[i][j]
			c.target = target(c.vm.Name())
		}
	}
	return p
}

func selectSubset(self string, choices []candidate) []candidate {
	slices.SortFunc(choices, func(a, b candidate) int {
		return cmp.Compare(record.RendezvousWeight(self, b.vm.Name()), record.RendezvousWeight(self, a.vm.Name()))
	})
	if len(choices) > subsetSize {
		choices = slices.Clone(choices[:subsetSize])
	}
	return choices
}
