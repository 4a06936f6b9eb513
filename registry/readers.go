package registry

import (
	"cmp"
	"slices"
	"sync"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

const (
	// followersPerReader is the number of nodes in a region for each of which one
	// node reads the platform.
	nodesPerWatcher = 64
	// shunSpan is how long a reader that did not help is left alone, in
	// milliseconds.
	exclusionSpan clock.Millis = 3 * clock.Second
)

// Readers tells a node whom in its region it hears changes from, so that few
// nodes read the platform. Nodes with the same list agree on the readers without
// a word. It is safe for concurrent use. Create it with NewReaders.
type Watchers struct {
	// self is the node's own address.
	self, region string

	mu sync.Mutex
	// reads is set when the node is a reader.
	isWatcher bool
	// order holds the readers, the node's own first, and one to replace them.
	candidates []Member
	// shunned tells until when a reader's address is left alone.
	excludedUntil map[string]clock.Millis
}

// NewReaders returns the readers of the node at an address, which reads itself
// until it knows others.
func NewWatchers(self, region string) *Watchers {
	return &Watchers{self: self, region: region, excludedUntil: make(map[string]clock.Millis)}
}

// Update takes the nodes of the region that may read, this one among them if it
// is listed.
func (r *Watchers) Update(members []Member) {
	n := 1 + (len(members)-1)/nodesPerWatcher
	ranked := rankByHash(r.region, members)
	readers, rest := ranked[:min(n, len(ranked))], ranked[min(n, len(ranked)):]
	order := rankByHash(r.self, readers)
	if slices.ContainsFunc(readers, r.isSelf) {
		order = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates = append(order, rest[:min(1, len(rest))]...)
	r.isWatcher = len(order) == 0
}

func (r *Watchers) isSelf(m Member) bool { return m.Address == r.self }

// rank sorts members by rendezvous hashing of a key with their addresses.
func rankByHash(key string, members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Compare(record.RendezvousWeight(key, b.Address), record.RendezvousWeight(key, a.Address))
	})
	return out
}

// Next returns the reader to hear from; false when the node has to read itself.
func (r *Watchers) Next(now clock.Millis) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isWatcher {
		return Member{}, false
	}
	for _, m := range r.candidates {
		switch {
		case r.isSelf(m):
			return Member{}, false
		case now < r.excludedUntil[m.Address]:
		default:
			return m, true
		}
	}
	return Member{}, false
}

// Shun leaves a reader alone for a while that was silent or knew nothing new.
func (r *Watchers) Exclude(now clock.Millis, m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, until := range r.excludedUntil {
		if now >= until {
			delete(r.excludedUntil, address)
		}
	}
	r.excludedUntil[m.Address] = now + exclusionSpan
}
