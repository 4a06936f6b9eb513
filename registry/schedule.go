package registry

import "cuminhollow.example/clock"

const (
	// exchangeInterval is the mean time between two exchanges of a node, in
	// milliseconds.
	exchangeInterval clock.Millis = 2 * clock.Second
	// maxFallbackRate bounds the mean number of reads of the platform per second
	// by the nodes that are not watchers, all together.
	maxFallbackRate = 100
	// minFallbackInterval is the shortest mean time between two such reads of one
	// node, in milliseconds.
	minFallbackInterval clock.Millis = 5 * clock.Second
	// minRetryDelay and maxRetryDelay limit the mean delay of a watcher after a
	// failed read, in milliseconds.
	minRetryDelay clock.Millis = 500
	maxRetryDelay clock.Millis = 8 * clock.Second
)

// Schedule returns the delays between the reads and exchanges of a node. All
// delays have jitter, so that nodes that started together do not act at the
// same times.
type Schedule struct {
	// random returns a number from 0 to below 1.
	random func() float64
}

// NewSchedule returns a schedule that uses random for its jitter. The function
// random returns a number from 0 to below 1 and must be safe for concurrent use
// if the schedule is shared.
func NewSchedule(random func() float64) Schedule {
	return Schedule{random: random}
}

// jitter returns a span from half to one and a half times mean.
func (s Schedule) jitter(mean clock.Millis) clock.Millis {
	return mean/2 + clock.Millis(s.random()*float64(mean))
}

// ExchangeDelay returns the delay until the next exchange, in milliseconds.
func (s Schedule) ExchangeDelay() clock.Millis { return s.jitter(exchangeInterval) }

// FallbackDelay returns the delay in milliseconds until a node that is not a
// watcher reads the platform itself. It grows with the number of nodes in the
// fleet, so that the reads of all nodes stay within a fixed rate.
func (s Schedule) FallbackDelay(fleet int) clock.Millis {
	mean := clock.Millis(fleet) * clock.Second / maxFallbackRate
	return s.jitter(max(mean, minFallbackInterval))
}

// RetryDelay returns the delay of a watcher after a number of consecutive
// failed reads, in milliseconds.
func (s Schedule) RetryDelay(failures int) clock.Millis {
	return s.jitter(min(minRetryDelay<<min(max(failures-1, 0), 8), maxRetryDelay))
}
