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
	followersPerReader = 64
	// shunSpan is how long a reader that did not help is left alone, in
	// milliseconds.
	shunSpan clock.Millis = 3 * clock.Second
)

// Readers tells a node whom in its region it hears changes from, so that few
// nodes read the platform. Nodes with the same list agree on the readers without
// a word. It is safe for concurrent use. Create it with NewReaders.
type Readers struct {
	// self is the node's own address.
	self, region string

	mu sync.Mutex
	// reads is set when the node is a reader.
	reads bool
	// order holds the readers, the node's own first, and one to replace them.
	order []Member
	// shunned tells until when a reader's address is left alone.
	shunned map[string]clock.Millis
}

// NewReaders returns the readers of the node at an address, which reads itself
// until it knows others.
func NewReaders(self, region string) *Readers {
	return &Readers{self: self, region: region, shunned: make(map[string]clock.Millis)}
}

// Update takes the nodes of the region that may read, this one among them if it
// is listed.
func (r *Readers) Update(members []Member) {
	n := 1 + (len(members)-1)/followersPerReader
	ranked := rank(r.region, members)
	readers, rest := ranked[:min(n, len(ranked))], ranked[min(n, len(ranked)):]
	order := rank(r.self, readers)
	if slices.ContainsFunc(readers, r.isSelf) {
		order = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = append(order, rest[:min(1, len(rest))]...)
	r.reads = len(order) == 0
}

func (r *Readers) isSelf(m Member) bool { return m.Address == r.self }

// rank sorts members by rendezvous hashing of a key with their addresses.
func rank(key string, members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Compare(record.RendezvousWeight(key, b.Address), record.RendezvousWeight(key, a.Address))
	})
	return out
}

// Next returns the reader to hear from; false when the node has to read itself.
func (r *Readers) Next(now clock.Millis) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reads {
		return Member{}, false
	}
	for _, m := range r.order {
		switch {
		case r.isSelf(m):
			return Member{}, false
		case now < r.shunned[m.Address]:
		default:
			return m, true
		}
	}
	return Member{}, false
}

// Shun leaves a reader alone for a while that was silent or knew nothing new.
func (r *Readers) Shun(now clock.Millis, m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, until := range r.shunned {
		if now >= until {
			delete(r.shunned, address)
		}
	}
	r.shunned[m.Address] = now + shunSpan
}
