package depot

import (
	"time"

	"cuminhollow.example/clock"
)

// stopSettings say how a planned stop goes.
type stopSettings struct {
	// Within bounds the whole stop, in seconds; 0 for the default of 11 minutes,
	// which is longer than the longest target time. Where it is set, calls are
	// taken for a part of it, until callers have turned to other nodes.
	MaxDuration float64 `yaml:"within_s"`
}

const (
	defaultStopTimeout = 11 * clock.Minute
	// lingerPart of a stop is the time during which calls are still taken, and
	// settlePart the time after which no call is in flight.
	lingerFraction = 0.38
	drainFraction  = 0.85
)

// linger returns how long calls are taken after a stop began.
func (s stopSettings) linger() time.Duration {
	return time.Duration(s.MaxDuration * lingerFraction * float64(time.Second))
}

// timeout returns how long work in flight is waited for.
func (s stopSettings) timeout() time.Duration {
	if s.MaxDuration <= 0 {
		return defaultStopTimeout.Duration()
	}
	return time.Duration(s.MaxDuration * drainFraction * float64(time.Second))
}
