// Package clock provides a monotonic clock that tests can replace. It is the
// only source of time for the packages that make decisions.
//
// These packages take a Clock instead of reading the system time, so that a
// test can simulate hours of operation in a loop. Use System in a running
// process and Manual in a test.
package clock

import "time"

// Millis is a point in time or a duration, in milliseconds. A point in time
// counts from the start of the Clock that returned it and must not be compared
// between processes.
type Millis int64

// Common durations, in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
	Hour   Millis = 60 * Minute
)

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String returns m in the format of time.Duration.String.
func (m Millis) String() string {
	return m.Duration().String()
}

// Clock returns the current time. Implementations are safe for concurrent use
// and never go backwards.
type Clock interface {
	// Now returns the time since the start of the clock.
	Now() Millis
}
