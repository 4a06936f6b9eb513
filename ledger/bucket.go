package ledger

import "sync/atomic"

// Parameters of a Bucket, in thousandths of a retry.
const (
	// creditPerFirst is earned by each first try: one retry for ten first tries.
	creditPerFirst = 100
	costPerRetry   = 1000
	// bucketLimit is the burst that is allowed after a time without retries.
	bucketLimit = 10 * costPerRetry
)

// Bucket limits the retries to one destination to a tenth of the first tries,
// with a burst of ten. The zero value is empty; create a full one with
// NewBucket. It is safe for concurrent use.
type Bucket struct {
	// credit is from 0 to bucketLimit, in thousandths of a retry.
	credit atomic.Int64
}

// NewBucket returns a full bucket.
func NewBucket() *Bucket {
	b := new(Bucket)
	b.credit.Store(bucketLimit)
	return b
}

// RecordFirst adds the credit of a first try.
func (b *Bucket) RecordFirst() {
	for {
		credit := b.credit.Load()
		next := min(credit+creditPerFirst, bucketLimit)
		if next == credit || b.credit.CompareAndSwap(credit, next) {
			return
		}
	}
}

// AllowRetry takes one retry from the bucket and reports whether one was left.
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
