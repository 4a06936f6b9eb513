package clock

import "sync/atomic"

// Manual is a clock that moves only when told to. The zero value reads zero.
type Manual struct {
	now atomic.Int64
}

// Now returns the time set by the calls to Advance.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock by span milliseconds. A negative span is ignored.
func (m *Manual) Advance(span Millis) {
	if span > 0 {
		m.now.Add(int64(span))
	}
}
