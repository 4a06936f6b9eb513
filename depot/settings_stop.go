package depot

import (
	"time"

	"cuminhollow.example/clock"
)

// stopSettings configure the planned stop.
type stopSettings struct {
	// MaxDuration limits the whole stop, in seconds; 0 for the default of 11
	// minutes, which is longer than the maximum target time. If it is set, calls
	// are still accepted for a fraction of it, until callers have switched to
	// other nodes.
	MaxDuration float64 `yaml:"within_s"`
}

const (
	defaultStopTimeout = 11 * clock.Minute
	// lingerFraction is the fraction of the stop during which calls are still
	// accepted, and drainFraction that after which no call is in progress.
	lingerFraction = 0.38
	drainFraction  = 0.85
)

// linger returns how long calls are still accepted after a stop has begun.
func (s stopSettings) linger() time.Duration {
	return time.Duration(s.MaxDuration * lingerFraction * float64(time.Second))
}

// timeout returns the time limit for lingering and for finishing the calls in
// progress, counted from the beginning of the stop.
func (s stopSettings) timeout() time.Duration {
	if s.MaxDuration <= 0 {
		return defaultStopTimeout.Duration()
	}
	return time.Duration(s.MaxDuration * drainFraction * float64(time.Second))
}
