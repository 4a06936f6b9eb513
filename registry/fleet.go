package registry

import (
	"cmp"
	"slices"

	"cuminhollow.example/record"
)

const (
	// watchersPerZone is the number of nodes in each zone that watch the
	// platform.
	watchersPerZone = 2
	// Fanout is the number of peers to which a new document is pushed.
	Fanout = 3
	// crossZoneOdds sets how often documents are exchanged with a node of another
	// zone: in one of crossZoneOdds exchanges on average.
	crossZoneOdds = 8
)

// Member is a node with which documents can be exchanged.
type Member struct {
	// VM is the name of the node's VM and Address its network address.
	VM, Address string
	// Zone is its availability zone.
	Zone string
}

// Fleet is the list of the nodes of all services as one node sees them. It is
// immutable.
type Fleet struct {
	self string
	zone string
	// sameZone holds the members of the node's own zone and otherZones all
	// others, both sorted by VM and without the node itself.
	sameZone, otherZones []Member
	// successors are the members that follow the node in the ring, nearest first.
	successors []Member
	// watchers are the VMs that watch the platform for the zone.
	watchers []string
}

// NewFleet returns the fleet as seen by a node, from the rosters of all
// services.
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
	f.successors = successorsOf(zone, self, slices.Concat(f.sameZone, f.otherZones))
	f.watchers = selectWatchers(zone, candidates)
	return f
}

// selectWatchers returns the VMs with the highest weights in the rendezvous
// hashing of the zone, at most watchersPerZone.
func selectWatchers(zone string, candidates []string) []string {
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Compare(record.RendezvousWeight(zone, b), record.RendezvousWeight(zone, a))
	})
	return candidates[:min(len(candidates), watchersPerZone)]
}

// Size returns the number of nodes, including this one.
func (f *Fleet) Size() int { return len(f.sameZone) + len(f.otherZones) + 1 }

// IsWatcher reports whether this node watches the platform for its zone.
func (f *Fleet) IsWatcher() bool { return slices.Contains(f.watchers, f.self) }

// ExchangePeer returns a random member to exchange documents with; false if
// there is none. Most are of the own zone. A few are of other zones, so that a
// zone whose watchers are cut off from the platform gets updates too. The
// function random returns a number from 0 to n-1.
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

// PushTargets returns random members to which a new document is pushed: Fanout
// of the own zone and, if this node is a watcher, one of another zone. A member
// may be listed more than once. The function random returns a number from 0 to
// n-1.
func (f *Fleet) PushTargets(random func(n int) int) []Member {
	var out []Member
	members := f.sameZone
	if len(members) == 0 {
		members = f.otherZones
	}
	for range min(Fanout, len(members)) {
		out = append(out, members[random(len(members))])
	}
	if f.IsWatcher() && len(f.otherZones) > 0 {
		out = append(out, f.otherZones[random(len(f.otherZones))])
	}
	return out
}
