package booking

// Option changes how a Desk decides.
type Option func(*Controller)

// WithLimitPolicy sets how the limit moves; the default is AdaptiveLimit.
func WithLimitPolicy(p LimitPolicy) Option {
	return func(d *Controller) { d.limiter = newLimiter(p, d.limiter.slots) }
}

// WithQueuePolicy sets the order of the queue; the default is RankedQueue.
func WithQueuePolicy(p QueuePolicy) Option {
	return func(d *Controller) { d.policy = p }
}

// WithQueueLength sets the most calls that wait; the default is eight for
// each slot.
func WithQueueLength(n int) Option {
	return func(d *Controller) { d.queueCapacity = max(n, 0) }
}

// WithOrigins makes the desk learn from where calls begin which kinds are onward
// calls, and serve those before all others. Without it, onward calls are those
// that say so, in the class that they have.
func WithNestedDetection() Option {
	return func(d *Controller) { d.nestedDetector = new(NestedDetector) }
}

// WithHeadroom leaves a share of the slots free, from 0 to 1, but not the last
// one: upstreams that are nearly full slow down. The default is 0.
func WithHeadroom(share float64) Option {
	return func(d *Controller) {
		d.headroom = min(max(share, 0), 1)
		d.limiter = newLimiter(d.limiter.policy, d.usableSlots(d.limiter.slots))
	}
}

// WithoutQuotas lets the first calls of chains run however full the services
// further down are. It is a baseline for measurements.
func WithoutQuotas() Option {
	return func(d *Controller) { d.withoutQuotas = true }
}

// QueuePolicy chooses the order of the queue: RankedQueue or FIFOQueue.
type QueuePolicy interface {
	isQueuePolicy()
}

// RankedQueue serves by class, then fairly by kind and caller, then by
// deadline, and refuses what cannot finish in time.
type RankedQueue struct{}

// FIFOQueue serves in order of arrival and refuses only when the queue is
// full. It is the baseline for measurements.
type FIFOQueue struct{}

func (RankedQueue) isQueuePolicy() {}
func (FIFOQueue) isQueuePolicy()   {}
