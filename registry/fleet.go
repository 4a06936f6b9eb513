package registry

import (
	"cmp"
	"slices"

	"cuminhollow.example/record"
)

const (
	// readersPerZone is the number of nodes in each zone that watch the
	// platform.
	watchersPerZone = 2
	// Fanout is the number of peers to which a new document is pushed.
	Fanout = 3
	// farShare is the share of exchanges with another zone: one in that many.
	crossZoneOdds = 8
)

// Member is a node that documents can be exchanged with.
type Member struct {
	// VM and Address name the node.
	VM, Address string
	// Zone is its availability zone.
	Zone string
}

// Fleet is the immutable view of the nodes of all services.
type Fleet struct {
	self string
	zone string
	// near holds the members of the node's own zone, far all others, both
	// sorted by VM and without the node itself.
	sameZone, otherZones []Member
	// readers are the VMs that watch the platform for the zone.
	watchers []string
}

// NewFleet collects the VMs of all rosters as a node sees them.
func NewFleet(self, zone string, s *record.Snapshot) *Fleet {
	f := &Fleet{self: self, zone: zone}
	candidates := []string{self}
	for _, service := range s.Services() {
		for _, v := range s.Roster(service).VMs() {
			if v.Name() == self {
				continue
			}
			m := Member{VM: v.Name(), Address: v.Address(), Zone: v.Zone()}
			if v.Zone() != zone {
				f.otherZones = append(f.otherZones, m)
				continue
			}
			f.sameZone = append(f.sameZone, m)
			if v.State() == record.StateLive {
				candidates = append(candidates, v.Name())
			}
		}
	}
	byVM := func(a, b Member) int { return cmp.Compare(a.VM, b.VM) }
	slices.SortFunc(f.sameZone, byVM)
	slices.SortFunc(f.otherZones, byVM)
	f.watchers = selectWatchers(zone, candidates)
	return f
}

// topReaders returns the VMs that rendezvous hashing with the zone ranks
// highest.
func selectWatchers(zone string, candidates []string) []string {
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Compare(record.RendezvousWeight(zone, b), record.RendezvousWeight(zone, a))
	})
	return candidates[:min(len(candidates), watchersPerZone)]
}

// Size returns the number of nodes, this one included.
func (f *Fleet) Size() int { return len(f.sameZone) + len(f.otherZones) + 1 }

// Reader reports whether this node watches the platform for its zone.
func (f *Fleet) IsWatcher() bool { return slices.Contains(f.watchers, f.self) }

// Partner returns a member to exchange documents with: mostly of the own
// zone, at times of another, so that zones whose readers are cut off from the
// platform learn from others. The random function returns a number below n.
func (f *Fleet) ExchangePeer(random func(n int) int) (Member, bool) {
	from := f.sameZone
	if len(from) == 0 || (len(f.otherZones) > 0 && random(crossZoneOdds) == 0) {
		from = f.otherZones
	}
	if len(from) == 0 {
		return Member{}, false
	}
	return from[random(len(from))], true
}

// Receivers returns the members to which a new document is pushed: Fanout of
// the own zone, and one of another zone from a reader.
func (f *Fleet) PushTargets(random func(n int) int) []Member {
	var out []Member
	near := f.sameZone
	if len(near) == 0 {
		near = f.otherZones
	}
	for range min(Fanout, len(near)) {
		out = append(out, near[random(len(near))])
	}
	if f.IsWatcher() && len(f.otherZones) > 0 {
		out = append(out, f.otherZones[random(len(f.otherZones))])
	}
	return out
}
