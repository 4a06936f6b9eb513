package ledger

import "sync/atomic"

// Bytes limits the memory of what a process holds for others, such as the bodies
// of requests in flight. It is safe for concurrent use. Create it with NewBytes.
type Bytes struct {
	limit int64
	// used is never negative, and exceeds limit by less than one reservation.
	used atomic.Int64
}

// NewBytes returns an empty budget with a limit in bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Reserve takes n bytes if that many are left, and reports whether it did.
func (b *Bytes) Reserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// Release returns n bytes that Reserve took.
func (b *Bytes) Release(n int) { b.used.Add(-int64(n)) }

// Used returns the number of bytes that are taken.
func (b *Bytes) Used() int64 { return b.used.Load() }
