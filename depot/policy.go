package depot

import "cuminhollow.example/booking"

// fifoLength is the queue of the baseline: long enough that calls wait past
// their target times.
const fifoQueueLength = 1024

// desk returns the options of the admission desk.
func (p policySettings) controllerOptions() []booking.Option {
	var opts []booking.Option
	if p.Queue == queueFIFO {
		opts = append(opts, booking.WithQueuePolicy(booking.FIFOQueue{}), booking.WithQueueLength(fifoQueueLength))
	}
	if p.Limit == limitFixed {
		opts = append(opts, booking.WithLimitPolicy(booking.FixedLimit{}))
	}
	return opts
}

// perHop reports whether each hop retries on its own, without a common bound.
func (p policySettings) perHopRetries() bool { return p.Retries == retriesPerHop }

// early reports whether entries refuse what owners would refuse.
func (p policySettings) rejectEarly() bool { return p.Early != earlyOff }
