package registry

import (
	"cmp"
	"slices"
)

// maxRingSteps is the number of successors that a node tries in one exchange.
const maxRingSteps = 8

// Successors returns the members that follow the node in the ring of all members,
// nearest first, at most maxRingSteps. The ring is ordered by zone and VM.
//
// In every second exchange a node takes its nearest successor that answers. Each
// live node is the nearest live successor of another one, so that a node which
// knows nobody, for example after a restart while the platform is unavailable, is
// found within two exchanges, however many nodes there are. At most
// maxRingSteps-1 members in a row may be down for that.
func (f *Fleet) Successors() []Member { return f.successors }

// successorsOf returns the members that follow a VM of a zone in the ring.
func successorsOf(zone, vm string, members []Member) []Member {
	position := func(m Member) int {
		return cmp.Or(cmp.Compare(m.Zone, zone), cmp.Compare(m.VM, vm))
	}
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM))
	})
	next, _ := slices.BinarySearchFunc(ring, 0, func(m Member, _ int) int { return position(m) })
	ring = slices.Concat(ring[next:], ring[:next])
	return slices.Clip(ring[:min(len(ring), maxRingSteps)])
}
