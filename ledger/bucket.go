package ledger

import "sync/atomic"

// Retry bucket parameters, in thousandths of a try.
const (
	// creditPerCall is earned by each fresh call: one retry for ten calls.
	creditPerCall = 100
	costPerRetry  = 1000
	// bucketLimit lets a quiet destination have this many retries at once.
	bucketLimit = 10 * costPerRetry
)

// Bucket bounds the retries to one destination to a tenth of its fresh calls,
// with a burst of ten. The zero value is empty; create a full one with
// NewBucket. It is safe for concurrent use.
type Bucket struct {
	// credit is from 0 to bucketLimit.
	credit atomic.Int64
}

// NewBucket returns a full bucket.
func NewBucket() *Bucket {
	b := new(Bucket)
	b.credit.Store(bucketLimit)
	return b
}

// Fresh notes a first try.
func (b *Bucket) RecordFirst() {
	for {
		credit := b.credit.Load()
		next := min(credit+creditPerCall, bucketLimit)
		if next == credit || b.credit.CompareAndSwap(credit, next) {
			return
		}
	}
}

// Retry takes one retry and reports whether there was one.
func (b *Bucket) AllowRetry() bool {
	for {
		credit := b.credit.Load()
		if credit < costPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(credit, credit-costPerRetry) {
			return true
		}
	}
}
