package booking

import (
	"sync"

	"cuminhollow.example/clock"
)

const (
	// defaultQueuePerSlot is the default queue capacity per slot.
	defaultQueuePerSlot = 8
	// rootStartInterval is the number of starts of which one goes to a root call
	// even while nested calls wait.
	rootStartInterval = 8
)

// Controller admits the calls of one upstream. It is safe for concurrent use;
// each method holds the mutex for a few operations in memory only. Create it
// with NewController.
type Controller struct {
	mu          sync.Mutex
	limiter     limiter
	queuePolicy QueuePolicy
	load        loadStats
	// running is at most the limit, except after the limit was lowered.
	running int
	// waiting is the sum of the sizes of the queues, at most queueCapacity.
	waiting       int
	queueCapacity int
	// closed is set while the upstream takes no new calls. None waits then.
	closed bool
	// starts counts the calls started.
	starts uint64
	queues [NumClasses]classQueue
	// nestedDetector is nil if only calls marked as nested count as such.
	nestedDetector *NestedDetector
	// headroom is the share of the slots that is kept free.
	headroom float64
	// withoutQuotas exempts root calls from quotas.
	withoutQuotas bool
	// overloadedUntil is the time until which the upstream counts as overloaded
	// because a call was shed.
	overloadedUntil clock.Millis
	// downstreamOverload estimates the overload of the services that the upstream
	// calls.
	downstreamOverload overloadEstimate
}

// NewController returns a controller for an upstream with the given number of
// slots, at least one.
func NewController(slots int, opts ...Option) *Controller {
	slots = max(slots, 1)
	ct := &Controller{
		limiter:       newLimiter(AdaptiveLimit{}, slots),
		queuePolicy:   RankedQueue{},
		queueCapacity: slots * defaultQueuePerSlot,
	}
	for _, o := range opts {
		o(ct)
	}
	return ct
}

// Admit decides on a new call. After VerdictStart, run the call and then call
// Done. After VerdictQueued, wait for Call.Decided.
func (ct *Controller) Admit(now clock.Millis, c *Call) Verdict {
	if ct.nestedDetector != nil {
		ct.nestedDetector.Observe(c.kind, c.origin)
	}
	c.class, c.nested = ct.Classify(c.class, c.kind, c.nested)
	c.underQuota = !c.nested && !ct.withoutQuotas
	c.arrived = now
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.load.rollWindow(now)
	v := ct.admit(now, c)
	switch v {
	case VerdictShed:
		ct.overloadedUntil = now + overloadedAfterShed
		fallthrough
	case VerdictExpired, VerdictDownstreamOverload:
		c.state = callEnded
		c.overloaded = v != VerdictExpired
		ct.load.countRefusal(c.class)
	case VerdictBusy, VerdictClosed:
		c.state = callEnded
	case VerdictStart, VerdictQueued:
	}
	return v
}

// overloadVerdict returns the verdict with which c is refused: overload of
// downstream services if the quota of its kind is used up, of this upstream
// otherwise.
func (ct *Controller) overloadVerdict(c *Call) Verdict {
	if ct.quotaAllows(c) {
		return VerdictShed
	}
	return VerdictDownstreamOverload
}

func (ct *Controller) admit(now clock.Millis, c *Call) Verdict {
	if ct.closed {
		return VerdictClosed
	}
	if now >= c.deadline {
		return VerdictExpired
	}
	if ct.running < ct.limiter.current() && ct.quotaAllows(c) {
		ct.start(now, c)
		return VerdictStart
	}
	ct.limiter.noteLimitReached()
	if k := ct.load.kinds[c.kind]; k != nil && !ct.quotaAllows(c) {
		k.noteLimitReached(now)
	}
	share := ct.higherPriorityShare(c.class)
	wait := ct.estimateWait(c.class, c.kind, share)
	if ct.waitTooLong(now, c, share, wait) {
		return ct.overloadVerdict(c)
	}
	if c.maxWait >= 0 && wait > float64(c.maxWait) {
		return VerdictBusy
	}
	if ct.waiting >= ct.queueCapacity && !ct.evictFor(c) {
		return ct.overloadVerdict(c)
	}
	c.decided = make(chan Verdict, 1)
	c.latestStart = ct.latestStart(c)
	c.state = callWaiting
	ct.queueOf(c).push(c)
	ct.waiting++
	return VerdictQueued
}

// quotaAllows reports whether c may start under the quota of its kind.
func (ct *Controller) quotaAllows(c *Call) bool {
	if !c.underQuota {
		return true
	}
	k := ct.load.kinds[c.kind]
	return k == nil || !k.atLimit(k.inFlight)
}

// queueOf returns the queue in which c waits. FIFOQueue uses a single one.
func (ct *Controller) queueOf(c *Call) *classQueue {
	if _, fifo := ct.queuePolicy.(FIFOQueue); fifo {
		return &ct.queues[0]
	}
	return &ct.queues[c.class]
}

// Resize sets the number of slots of the upstream, at least one, and starts
// waiting calls in slots that became free.
func (ct *Controller) Resize(now clock.Millis, slots int) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	slots = ct.usableSlots(max(slots, 1))
	if slots == ct.limiter.slots {
		return
	}
	ct.queueCapacity = ct.queueCapacity * slots / ct.limiter.slots
	ct.limiter = newLimiter(ct.limiter.policy, slots)
	ct.startWaiting(now)
}

// usableSlots returns the number of slots that the headroom leaves, at least
// one.
func (ct *Controller) usableSlots(slots int) int {
	return max(1, int(float64(slots)*(1-ct.headroom)))
}

func (ct *Controller) start(now clock.Millis, c *Call) {
	c.state = callRunning
	c.started = now
	c.overloaded = ct.overloaded(now, c)
	ct.running++
	ct.starts++
	if k := ct.load.kindOrNew(c.kind); k != nil {
		k.inFlight++
	}
	ct.load.countStart(c.class)
}

// Done ends a call that was started and starts waiting calls. If it returns a
// positive span, in milliseconds, the call still counts in the quota of its
// kind: call Release after that span.
func (ct *Controller) Done(now clock.Millis, c *Call, r Result) clock.Millis {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if c.state != callRunning {
		return 0
	}
	c.state = callEnded
	ct.running--
	ct.load.rollWindow(now)
	span := float64(now - c.started)
	reservedFor := clock.Millis(0)
	if k := ct.load.kinds[c.kind]; k != nil {
		if c.underQuota && r != ResultCancelled {
			reservedFor = k.runEnded(now, span, r != ResultOK, k.inFlight, ct.overloadFor(now, c, k))
		}
		if reservedFor <= 0 {
			k.inFlight--
		}
	}
	if r != ResultCancelled && r != ResultFailed {
		ct.load.addRunTime(c.kind, span)
	}
	ct.limiter.runEnded(now, r)
	ct.startWaiting(now)
	return reservedFor
}

// Release frees the place in the quota of c's kind that Done kept reserved.
func (ct *Controller) Release(now clock.Millis, c *Call) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if k := ct.load.kinds[c.kind]; k != nil {
		k.inFlight--
	}
	ct.startWaiting(now)
}

func (ct *Controller) startWaiting(now clock.Millis) {
	for ct.waiting > 0 && ct.running < ct.limiter.current() {
		c := ct.pop()
		if c == nil {
			return
		}
		if now >= ct.latestStart(c) {
			ct.refuseWaiting(c, VerdictExpired)
			continue
		}
		ct.waiting--
		ct.start(now, c)
		c.decided <- VerdictStart
	}
}

// pop removes and returns the next call to start, or nil if none may start. It
// takes the lowest class first. With nested call detection, though, every
// rootStartInterval-th start prefers unprotected classes, so that nested calls
// do not starve root calls.
func (ct *Controller) pop() *Call {
	from := 0
	if ct.nestedDetector != nil && ct.starts%rootStartInterval == 0 {
		from = firstUnprotected
	}
	for i := range ct.queues {
		if c := ct.queues[(from+i)%NumClasses].pop(ct.quotaAllows); c != nil {
			return c
		}
	}
	return nil
}

// Cancel removes a waiting call from the queue and reports whether it was still
// waiting. A queued call that no longer waits has a verdict in Decided.
func (ct *Controller) Cancel(c *Call) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if c.state != callWaiting || !ct.queueOf(c).remove(c) {
		return false
	}
	c.state = callEnded
	c.overloaded = true
	ct.waiting--
	return true
}
