package registry

import (
	"fmt"
	"testing"
)

func membersOf(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{VM: fmt.Sprint("u-", i), Address: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)})
	}
	return out
}

// TestWatchersOfRegion checks, for every node of a region, from which node it
// receives updates: one node in nodesPerWatcher reads the platform itself, and
// no watcher has more than twice nodesPerWatcher followers.
func TestWatchersOfRegion(t *testing.T) {
	for _, n := range []int{1, 2, 8, 64, 65, 700} {
		members := membersOf(n)
		followers, watchers := make(map[string]int), 0
		for _, m := range members {
			w := NewWatchers(m.Address, "kutch")
			w.Update(members)
			if from, ok := w.Next(0); ok {
				followers[from.Address]++
			} else {
				watchers++
			}
		}
		if got, want := watchers, 1+(n-1)/nodesPerWatcher; got != want {
			t.Errorf("%d nodes: got %d watchers, want %d", n, got, want)
		}
		for address, got := range followers {
			if got > 2*nodesPerWatcher {
				t.Errorf("%d nodes: got %d followers of %s, want at most %d", n, got, address, 2*nodesPerWatcher)
			}
		}
	}
}

// TestWatchersExclude checks that a node changes from an excluded watcher to
// another one, then to the platform, and back when the exclusion ends.
func TestWatchersExclude(t *testing.T) {
	members := membersOf(8)
	var w *Watchers
	for _, m := range members {
		w = NewWatchers(m.Address, "kutch")
		w.Update(members)
		if w.candidates[0].Address != m.Address && w.candidates[1].Address != m.Address {
			break
		}
	}
	first, ok := w.Next(10)
	if !ok {
		t.Fatal("got no watcher, want one")
	}
	w.Exclude(10, first)
	second, ok := w.Next(20)
	if !ok || second == first {
		t.Fatalf("got %v, want another watcher than %v", second, first)
	}
	w.Exclude(20, second)
	if got, ok := w.Next(30); ok {
		t.Errorf("got %v, want none", got)
	}
	if got, _ := w.Next(10 + exclusionSpan); got != first {
		t.Errorf("after the exclusion: got %v, want %v", got, first)
	}
}

// TestWatchersReplacement checks that the replacement of a watcher reads the
// platform itself while the watcher is excluded.
func TestWatchersReplacement(t *testing.T) {
	members := membersOf(8)
	probe := NewWatchers("10.9.9.9:7", "kutch")
	probe.Update(members)
	watcher, replacement := probe.candidates[0], probe.candidates[1]
	w := NewWatchers(replacement.Address, "kutch")
	w.Update(members)
	if got, ok := w.Next(0); !ok || got != watcher {
		t.Fatalf("got %v, want the watcher %v", got, watcher)
	}
	w.Exclude(0, watcher)
	if got, ok := w.Next(1); ok {
		t.Errorf("got %v, want the node to read the platform", got)
	}
	w.Update(nil)
	if got, ok := w.Next(1); ok {
		t.Errorf("without a list: got %v, want the node to read the platform", got)
	}
}
