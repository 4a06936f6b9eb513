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

// TestReadersOfRegion asks every node of a region whom it hears from: one node in
// followersPerReader reads itself, and each reader has about as many followers.
func TestReadersOfRegion(t *testing.T) {
	for _, n := range []int{1, 2, 8, 64, 65, 700} {
		members := membersOf(n)
		followers, readers := make(map[string]int), 0
		for _, m := range members {
			r := NewWatchers(m.Address, "kutch")
			r.Update(members)
			if from, ok := r.Next(0); ok {
				followers[from.Address]++
			} else {
				readers++
			}
		}
		if got, want := readers, 1+(n-1)/nodesPerWatcher; got != want {
			t.Errorf("%d nodes: got %d readers, want %d", n, got, want)
		}
		for address, got := range followers {
			if got > 2*nodesPerWatcher {
				t.Errorf("%d nodes: got %d followers of %s, want at most %d", n, got, address, 2*nodesPerWatcher)
			}
		}
	}
}

// TestReadersShun turns from a reader that did not help to another one, then to
// the platform, and back after a while.
func TestReadersShun(t *testing.T) {
	members := membersOf(8)
	var r *Watchers
	for _, m := range members {
		r = NewWatchers(m.Address, "kutch")
		r.Update(members)
		if r.candidates[0].Address != m.Address && r.candidates[1].Address != m.Address {
			break
		}
	}
	first, ok := r.Next(10)
	if !ok {
		t.Fatal("got no reader, want one")
	}
	r.Exclude(10, first)
	second, ok := r.Next(20)
	if !ok || second == first {
		t.Fatalf("got %v, want another reader than %v", second, first)
	}
	r.Exclude(20, second)
	if got, ok := r.Next(30); ok {
		t.Errorf("got %v, want none", got)
	}
	if got, _ := r.Next(10 + exclusionSpan); got != first {
		t.Errorf("after a while: got %v, want %v", got, first)
	}
}

// TestReadersReplace has the node that replaces a reader read itself once the
// reader does not help.
func TestReadersReplace(t *testing.T) {
	members := membersOf(8)
	probe := NewWatchers("10.9.9.9:7", "kutch")
	probe.Update(members)
	reader, spare := probe.candidates[0], probe.candidates[1]
	r := NewWatchers(spare.Address, "kutch")
	r.Update(members)
	if got, ok := r.Next(0); !ok || got != reader {
		t.Fatalf("got %v, want the reader %v", got, reader)
	}
	r.Exclude(0, reader)
	if got, ok := r.Next(1); ok {
		t.Errorf("got %v, want the node to read itself", got)
	}
	r.Update(nil)
	if got, ok := r.Next(1); ok {
		t.Errorf("without a list: got %v, want the node to read itself", got)
	}
}
