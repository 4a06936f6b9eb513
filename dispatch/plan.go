package dispatch

import (
	"cmp"
	"slices"

	"cuminhollow.example/record"
)

// subsetSize is the maximum number of VMs that a node uses of each service and
// tier.
const subsetSize = 16

// candidate is a VM that may be picked.
type candidate struct {
	vm     record.VM
	target *Target
}

// serviceSubset holds the VMs of one service that the node uses, by tier. It is
// immutable.
type serviceSubset struct {
	roster *record.Roster
	tiers  [numTiers][]candidate
}

// newServiceSubset selects the VMs of each tier by rendezvous hashing of the
// names of the node and the VM. The nodes are spread evenly over the VMs of the
// service, and a change of one VM changes the subsets of few nodes.
func newServiceSubset(self string, locality Locality, roster *record.Roster, target func(string) *Target) *serviceSubset {
	ss := &serviceSubset{roster: roster}
	for _, v := range roster.VMs() {
		if v.State() != record.StateLive {
			continue
		}
		tier := locality.tierOf(Locality{Region: v.Region(), Zone: v.Zone()})
		ss.tiers[tier] = append(ss.tiers[tier], candidate{vm: v})
	}
	for i := range ss.tiers {
		ss.tiers[i] = selectSubset(self, ss.tiers[i])
		for j := range ss.tiers[i] {
			c := &ss.tiers[i][j]
			c.target = target(c.vm.Name())
		}
	}
	return ss
}

// selectSubset sorts the candidates by their hash weight and returns the first
// subsetSize of them.
func selectSubset(self string, candidates []candidate) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(record.RendezvousWeight(self, b.vm.Name()), record.RendezvousWeight(self, a.vm.Name()))
	})
	if len(candidates) > subsetSize {
		candidates = slices.Clone(candidates[:subsetSize])
	}
	return candidates
}
