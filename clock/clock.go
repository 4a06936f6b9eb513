// Package clock is the only source of time for the decision packages.
//
// Decisions take a Clock instead of reading the system time, so that a test
// can drive hours of behaviour in a loop. Use System in a running process and
// Manual in a test.
package clock

import "time"

// Millis is a point in time or a span, in milliseconds. Points are counted
// from the start of the Clock that returned them and are never compared
// between processes.
type Millis int64

// Common spans, in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// FromDuration converts d, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts m for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String returns m in the form of time.Duration.String.
func (m Millis) String() string {
	return m.Duration().String()
}

// Clock tells the time. Implementations are safe for concurrent use and never
// run backwards.
type Clock interface {
	Now() Millis
}
