package booking

// Option changes how a Controller decides.
type Option func(*Controller)

// WithLimitPolicy sets how the limit changes; the default is AdaptiveLimit.
func WithLimitPolicy(p LimitPolicy) Option {
	return func(ct *Controller) { ct.limiter = newLimiter(p, ct.limiter.slots) }
}

// WithQueuePolicy sets the order of the queue; the default is RankedQueue.
func WithQueuePolicy(p QueuePolicy) Option {
	return func(ct *Controller) { ct.queuePolicy = p }
}

// WithQueueLength sets the maximum number of waiting calls; the default is eight
// for each slot.
func WithQueueLength(n int) Option {
	return func(ct *Controller) { ct.queueCapacity = max(n, 0) }
}

// WithNestedDetection makes the controller detect kinds of nested calls by the
// origins of their calls, and serve those kinds as protected work, before all
// unprotected work. Without it, only calls marked with Call.SetNested are nested.
// Marked calls keep their class.
func WithNestedDetection() Option {
	return func(ct *Controller) { ct.nestedDetector = new(NestedDetector) }
}

// WithHeadroom keeps a share of the slots free, from 0 to 1, because upstreams
// that are nearly full slow down. One slot is always usable. The default is 0.
func WithHeadroom(share float64) Option {
	return func(ct *Controller) {
		ct.headroom = min(max(share, 0), 1)
		ct.limiter = newLimiter(ct.limiter.policy, ct.usableSlots(ct.limiter.slots))
	}
}

// WithoutQuotas lets root calls run however overloaded the downstream services
// are. It is a baseline for measurements.
func WithoutQuotas() Option {
	return func(ct *Controller) { ct.withoutQuotas = true }
}

// QueuePolicy selects the order of the queue: RankedQueue or FIFOQueue.
type QueuePolicy interface {
	isQueuePolicy()
}

// RankedQueue serves by class, then fairly by kind and caller, then by
// deadline, and refuses calls that cannot finish in time.
type RankedQueue struct{}

// FIFOQueue serves in order of arrival and refuses only when the queue is
// full. It is the baseline for measurements.
type FIFOQueue struct{}

func (RankedQueue) isQueuePolicy() {}
func (FIFOQueue) isQueuePolicy()   {}
