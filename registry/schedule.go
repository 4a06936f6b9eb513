package registry

import "cuminhollow.example/clock"

const (
	// exchangeInterval is the mean time between two exchanges of a node, in
	// milliseconds.
	exchangeInterval clock.Millis = 2 * clock.Second
	// fallbackRate is the number of reads a second that all nodes together may
	// make of the platform without being readers.
	maxFallbackRate = 100
	// fallbackMin is the shortest mean time between two such reads of one
	// node, in milliseconds.
	minFallbackInterval clock.Millis = 5 * clock.Second
	// retryMin and retryMax bound the wait of a reader after a failed read, in
	// milliseconds.
	minRetryDelay clock.Millis = 500
	maxRetryDelay clock.Millis = 8 * clock.Second
)

// Schedule chooses the times of the reads and exchanges of a node. All waits
// have jitter, so that nodes that started together drift apart.
type Schedule struct {
	// random returns a number from 0 to 1, 1 excluded.
	random func() float64
}

// NewSchedule returns a schedule that draws from random, which must be safe
// for concurrent use if the schedule is shared.
func NewSchedule(random func() float64) Schedule {
	return Schedule{random: random}
}

// jitter returns a span from half to one and a half times mean.
func (s Schedule) jitter(mean clock.Millis) clock.Millis {
	return mean/2 + clock.Millis(s.random()*float64(mean))
}

// Exchange returns the wait until the next exchange, in milliseconds.
func (s Schedule) ExchangeDelay() clock.Millis { return s.jitter(exchangeInterval) }

// Fallback returns the wait until a node in a fleet of that size reads the
// platform although it is no reader, in milliseconds. It grows with the fleet,
// so that the reads of all nodes stay within a fixed rate.
func (s Schedule) FallbackDelay(fleet int) clock.Millis {
	mean := clock.Millis(fleet) * clock.Second / maxFallbackRate
	return s.jitter(max(mean, minFallbackInterval))
}

// Retry returns the wait of a reader after a number of failed reads in a row,
// in milliseconds.
func (s Schedule) RetryDelay(failures int) clock.Millis {
	return s.jitter(min(minRetryDelay<<min(max(failures-1, 0), 8), maxRetryDelay))
}
