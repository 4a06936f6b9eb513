package booking

import (
	"sync"

	"cuminhollow.example/clock"
)

const (
	// queuePerSlot is the default queue length for each slot.
	defaultQueuePerSlot = 8
	// firstTurn is the number of starts of which one goes to first calls although
	// onward calls wait.
	rootStartInterval = 8
)

// Desk admits the calls of one upstream. It is safe for concurrent use; each
// method holds its mutex for a few operations in memory. Create it with
// NewDesk.
type Controller struct {
	mu      sync.Mutex
	limiter limiter
	policy  QueuePolicy
	load    loadStats
	// running is at most the limit, but after the limit has dropped.
	running int
	// waiting is the sum of the sizes of the queues, at most maxWaiting.
	waiting       int
	queueCapacity int
	// starts counts the calls started.
	starts uint64
	queues [NumClasses]classQueue
	// origins is nil where onward calls say so themselves.
	nestedDetector *NestedDetector
	// headroom is the share of the slots that is left free.
	headroom float64
	// unlimited is set where first calls have no quotas.
	withoutQuotas bool
	// shortUntil is until when slots are taken to be short after a refusal.
	overloadedUntil clock.Millis
	// strain is that of the services which the upstream calls.
	downstreamOverload overloadEstimate
}

// NewDesk returns a desk for an upstream with that many slots, at least one.
func NewController(slots int, opts ...Option) *Controller {
	slots = max(slots, 1)
	d := &Controller{
		limiter:       newLimiter(AdaptiveLimit{}, slots),
		policy:        RankedQueue{},
		queueCapacity: slots * defaultQueuePerSlot,
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Admit decides on a new call. After VerdictStart the caller runs it and calls
// Done; after VerdictQueued it waits for Call.Decided.
func (d *Controller) Admit(now clock.Millis, c *Call) Verdict {
	if d.nestedDetector != nil {
		d.nestedDetector.Observe(c.kind, c.origin)
	}
	c.class, c.nested = d.Classify(c.class, c.kind, c.nested)
	c.root = !c.nested && !d.withoutQuotas
	c.arrived = now
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.rollWindow(now)
	v := d.admit(now, c)
	switch v {
	case VerdictShed:
		d.overloadedUntil = now + overloadedAfterShed
		fallthrough
	case VerdictExpired, VerdictDownstreamOverload:
		c.state = callEnded
		c.overloaded = v != VerdictExpired
		d.load.countRefusal(c.class)
	case VerdictBusy:
		c.state = callEnded
	case VerdictStart, VerdictQueued:
	}
	return v
}

// shed tells why a call is refused for want of room.
func (d *Controller) overloadVerdict(c *Call) Verdict {
	if d.quotaAllows(c) {
		return VerdictShed
	}
	return VerdictDownstreamOverload
}

func (d *Controller) admit(now clock.Millis, c *Call) Verdict {
	if now >= c.deadline {
		return VerdictExpired
	}
	if d.running < d.limiter.current() && d.quotaAllows(c) {
		d.start(now, c)
		return VerdictStart
	}
	d.limiter.noteLimitReached()
	if k := d.load.kinds[c.kind]; k != nil && !d.quotaAllows(c) {
		k.noteLimitReached(now)
	}
	share := d.higherPriorityShare(c.class)
	wait := d.estimateWait(c.class, c.kind, share)
	if d.waitTooLong(now, c, share, wait) {
		return d.overloadVerdict(c)
	}
	if c.maxWait >= 0 && wait > float64(c.maxWait) {
		return VerdictBusy
	}
	if d.waiting >= d.queueCapacity && !d.evictFor(c) {
		return d.overloadVerdict(c)
	}
	c.decided = make(chan Verdict, 1)
	c.latestStart = d.latestStart(c)
	c.state = callWaiting
	d.queueOf(c).push(c)
	d.waiting++
	return VerdictQueued
}

// mayStart reports whether the quota of c's kind has room.
func (d *Controller) quotaAllows(c *Call) bool {
	if !c.root {
		return true
	}
	k := d.load.kinds[c.kind]
	return k == nil || !k.atLimit(k.inFlight)
}

// queue returns the queue that c waits in. FIFOQueue has a single one.
func (d *Controller) queueOf(c *Call) *classQueue {
	if _, fifo := d.policy.(FIFOQueue); fifo {
		return &d.queues[0]
	}
	return &d.queues[c.class]
}

// Resize sets the slots of the upstream, at least one. Waiting calls get slots
// that became free.
func (d *Controller) Resize(now clock.Millis, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots = d.usableSlots(max(slots, 1))
	if slots == d.limiter.slots {
		return
	}
	d.queueCapacity = d.queueCapacity * slots / d.limiter.slots
	d.limiter = newLimiter(d.limiter.policy, slots)
	d.startWaiting(now)
}

// usable returns the slots that may be used of all.
func (d *Controller) usableSlots(slots int) int {
	return max(1, int(float64(slots)*(1-d.headroom)))
}

func (d *Controller) start(now clock.Millis, c *Call) {
	c.state = callRunning
	c.started = now
	c.overloaded = d.overloaded(now, c)
	d.running++
	d.starts++
	if k := d.load.kindOrNew(c.kind); k != nil {
		k.inFlight++
	}
	d.load.countStart(c.class)
}

// Done ends a call that was started and starts those whose turn it is. After a
// positive span, in milliseconds, the caller calls Release.
func (d *Controller) Done(now clock.Millis, c *Call, r Result) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.state != callRunning {
		return 0
	}
	c.state = callEnded
	d.running--
	d.load.rollWindow(now)
	span := float64(now - c.started)
	hold := clock.Millis(0)
	if k := d.load.kinds[c.kind]; k != nil {
		if c.root && r != ResultCancelled {
			hold = k.runEnded(now, span, r != ResultOK, k.inFlight, d.overloadFor(now, c, k))
		}
		if hold <= 0 {
			k.inFlight--
		}
	}
	if r != ResultCancelled && r != ResultFailed {
		d.load.addRunTime(c.kind, span)
	}
	d.limiter.runEnded(now, r)
	d.startWaiting(now)
	return hold
}

// Release frees the place of a call in the quota of its kind, which Done left
// taken.
func (d *Controller) Release(now clock.Millis, c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k := d.load.kinds[c.kind]; k != nil {
		k.inFlight--
	}
	d.startWaiting(now)
}

func (d *Controller) startWaiting(now clock.Millis) {
	for d.waiting > 0 && d.running < d.limiter.current() {
		c := d.pop()
		if c == nil {
			return
		}
		if now >= d.latestStart(c) {
			d.refuseWaiting(c, VerdictExpired)
			continue
		}
		d.waiting--
		d.start(now, c)
		c.decided <- VerdictStart
	}
}

// pop takes the call whose turn it is out of the queue: of the lowest class, but
// that each firstTurn-th start goes to first calls before onward calls.
func (d *Controller) pop() *Call {
	begin := 0
	if d.nestedDetector != nil && d.starts%rootStartInterval == 0 {
		begin = firstUnprotected
	}
	for i := range d.queues {
		if c := d.queues[(begin+i)%NumClasses].pop(d.quotaAllows); c != nil {
			return c
		}
	}
	return nil
}

// Cancel takes a waiting call out of the queue and reports whether it was
// still waiting. A call that is no longer waiting has a verdict in Decided.
func (d *Controller) Cancel(c *Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.state != callWaiting || !d.queueOf(c).remove(c) {
		return false
	}
	c.state = callEnded
	c.overloaded = true
	d.waiting--
	return true
}
