package ledger

import (
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// TestBytesNeverExceedLimit reserves and releases at random, from several
// goroutines: what is held together never exceeds the limit, and all of it can be
// taken again at the end.
func TestBytesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 1000).Draw(t, "limit")
		sizes := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 40).Draw(t, "sizes")
		b := NewBytes(int64(limit))
		var held Bytes
		held.limit = int64(limit)
		var wg sync.WaitGroup
		for _, n := range sizes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if !b.Reserve(n) {
					return
				}
				if !held.Reserve(n) {
					t.Errorf("got more than %d bytes held", limit)
				}
				held.Release(n)
				b.Release(n)
			}()
		}
		wg.Wait()
		if got := b.Used(); got != 0 || !b.Reserve(limit) || b.Reserve(1) {
			t.Errorf("got %d bytes in use at the end, want the whole limit free and no more", got)
		}
	})
}
