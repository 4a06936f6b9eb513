package clock

import "sync/atomic"

// Manual is a Clock that moves only when Advance is called. The zero value
// starts at zero.
type Manual struct {
	now atomic.Int64
}

// Now returns the sum of the positive spans passed to Advance.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by span. A negative span is ignored.
func (m *Manual) Advance(span Millis) {
	if span > 0 {
		m.now.Add(int64(span))
	}
}
