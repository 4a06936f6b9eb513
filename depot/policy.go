package depot

import "cuminhollow.example/booking"

// fifoQueueLength is the queue length of the baseline with one FIFO queue: long
// enough that calls wait past their target times.
const fifoQueueLength = 1024

// controllerOptions returns the options of the admission controller.
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

// perHopRetries reports whether each hop retries on its own, without a limit for
// the whole call chain.
func (p policySettings) perHopRetries() bool { return p.Retries == retriesPerHop }

// rejectEarly reports whether entries reject the calls that owners would reject.
func (p policySettings) rejectEarly() bool { return p.Early != earlyOff }
