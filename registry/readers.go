package registry

import (
	"cmp"
	"slices"
	"sync"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

const (
	// nodesPerWatcher is the number of nodes in a region for which one node reads
	// the platform.
	nodesPerWatcher = 64
	// exclusionSpan is how long a watcher is not used after Exclude, in
	// milliseconds.
	exclusionSpan clock.Millis = 3 * clock.Second
)

// Watchers selects the node of the region from which a node receives updates,
// so that few nodes read the platform. Nodes with the same list select the same
// watchers without communication. It is safe for concurrent use. Create it with
// NewWatchers.
type Watchers struct {
	// selfAddress is the network address of the node, and region its region.
	selfAddress, region string

	mu sync.Mutex
	// isWatcher is set if the node reads the platform itself.
	isWatcher bool
	// candidates holds the watchers in the node's order of preference and one
	// replacement after them.
	candidates []Member
	// excludedUntil holds, by address, until when a watcher is not used.
	excludedUntil map[string]clock.Millis
}

// NewWatchers returns the watchers of the node with the address selfAddress.
// Until the first Update the node reads the platform itself.
func NewWatchers(selfAddress, region string) *Watchers {
	return &Watchers{selfAddress: selfAddress, region: region, excludedUntil: make(map[string]clock.Millis)}
}

// Update sets the nodes of the region that may read the platform, including
// this one if it is listed.
func (w *Watchers) Update(members []Member) {
	n := 1 + (len(members)-1)/nodesPerWatcher
	ranked := rankByHash(w.region, members)
	watchers, rest := ranked[:min(n, len(ranked))], ranked[min(n, len(ranked)):]
	candidates := rankByHash(w.selfAddress, watchers)
	if slices.ContainsFunc(watchers, w.isSelf) {
		candidates = nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.candidates = append(candidates, rest[:min(1, len(rest))]...)
	w.isWatcher = len(candidates) == 0
}

func (w *Watchers) isSelf(m Member) bool { return m.Address == w.selfAddress }

// rankByHash returns the members sorted by rendezvous hashing of a key with
// their addresses, highest weight first.
func rankByHash(key string, members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Compare(record.RendezvousWeight(key, b.Address), record.RendezvousWeight(key, a.Address))
	})
	return out
}

// Next returns the watcher from which to receive updates; false if the node has
// to read the platform itself.
func (w *Watchers) Next(now clock.Millis) (Member, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isWatcher {
		return Member{}, false
	}
	for _, m := range w.candidates {
		switch {
		case w.isSelf(m):
			return Member{}, false
		case now < w.excludedUntil[m.Address]:
		default:
			return m, true
		}
	}
	return Member{}, false
}

// Exclude stops the use of a watcher for exclusionSpan after it was silent or
// had no current documents.
func (w *Watchers) Exclude(now clock.Millis, m Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, until := range w.excludedUntil {
		if now >= until {
			delete(w.excludedUntil, address)
		}
	}
	w.excludedUntil[m.Address] = now + exclusionSpan
}
