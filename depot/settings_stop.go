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
	// accepted.
	lingerFraction = 0.38
	// recallFraction is the fraction after which no call waits any more, neither here
	// nor at another node for this one. Calls that are accepted during the stop end by
	// then.
	recallFraction = 0.8
	// giveUpFraction is the fraction after which calls that still run elsewhere are
	// answered as unknown, and drainFraction that after which no call is in progress.
	giveUpFraction = 0.84
	drainFraction  = 0.85
)

// linger returns how long calls are still accepted after a stop has begun.
func (s stopSettings) linger() time.Duration {
	return time.Duration(s.MaxDuration * lingerFraction * float64(time.Second))
}

// timeout returns the time limit for lingering and for finishing the calls in
// progress, counted from the beginning of the stop.
func (s stopSettings) timeout() time.Duration { return s.after(drainFraction) }

// recall returns the time after which no call waits any more, and giveUp that after
// which calls without an answer are answered as unknown, both counted from the
// beginning of the stop.
func (s stopSettings) recall() time.Duration { return s.after(recallFraction) }

func (s stopSettings) giveUp() time.Duration { return s.after(giveUpFraction) }

// after returns the time at which a fraction of the stop is over. By default, the
// time limit is defaultStopTimeout.
func (s stopSettings) after(fraction float64) time.Duration {
	if s.MaxDuration <= 0 {
		return time.Duration(float64(defaultStopTimeout.Duration()) * fraction / drainFraction)
	}
	return time.Duration(s.MaxDuration * fraction * float64(time.Second))
}
