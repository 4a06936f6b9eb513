package ledger

import "sync/atomic"

// The defaults of a Bucket, in thousandths of a try.
const (
	costPerRetry = 1000
	// defaultShare is earned by each fresh call: one retry for ten calls.
	defaultShare = 100
	// defaultBurst lets a quiet destination have ten retries at once.
	defaultBurst = 10 * costPerRetry
)

// Bucket bounds the retries to one destination to a share of its fresh calls
// and a burst. The zero value has no retries and earns none; create a full one
// with NewBucket. It is safe for concurrent use.
type Bucket struct {
	// share is earned by each fresh call, and limit is the most credit, at least
	// one try if any is earned.
	share, limit int64
	// credit is from 0 to limit.
	credit atomic.Int64
}

// BucketOption changes a Bucket.
type BucketOption func(*Bucket)

// WithShare sets the retries that each fresh call earns; the default is a tenth.
func WithShare(share float64) BucketOption {
	return func(b *Bucket) { b.share = int64(share * costPerRetry) }
}

// WithBurst sets the most retries at once, at least one; the default is ten.
func WithBurst(burst float64) BucketOption {
	return func(b *Bucket) { b.limit = max(int64(burst*costPerRetry), costPerRetry) }
}

// NewBucket returns a full bucket.
func NewBucket(opts ...BucketOption) *Bucket {
	b := &Bucket{share: defaultShare, limit: defaultBurst}
	for _, o := range opts {
		o(b)
	}
	b.credit.Store(b.limit)
	return b
}

// Fresh notes a first try.
func (b *Bucket) Fresh() {
	for {
		credit := b.credit.Load()
		next := min(credit+b.share, b.limit)
		if next == credit || b.credit.CompareAndSwap(credit, next) {
			return
		}
	}
}

// Retry takes one retry and reports whether there was one.
func (b *Bucket) Retry() bool {
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
