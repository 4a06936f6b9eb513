package booking

import (
	"sync"

	"cuminhollow.example/clock"
)

const (
	// queuePerSlot is the default queue length for each slot.
	queuePerSlot = 8
	// firstTurn is the number of starts of which one goes to first calls although
	// onward calls wait.
	firstTurn = 8
)

// Desk admits the calls of one upstream. It is safe for concurrent use; each
// method holds its mutex for a few operations in memory. Create it with
// NewDesk.
type Desk struct {
	mu      sync.Mutex
	limiter limiter
	policy  QueuePolicy
	load    load
	// running is at most the limit, but after the limit has dropped.
	running int
	// waiting is the sum of the sizes of the queues, at most maxWaiting.
	waiting    int
	maxWaiting int
	// starts counts the calls started.
	starts uint64
	queues [Classes]classQueue
	// origins is nil where onward calls say so themselves.
	origins *Origins
	// headroom is the share of the slots that is left free.
	headroom float64
	// unlimited is set where first calls have no quotas.
	unlimited bool
	// shortUntil is until when slots are taken to be short after a refusal.
	shortUntil clock.Millis
	// strain is that of the services which the upstream calls.
	strain strain
}

// NewDesk returns a desk for an upstream with that many slots, at least one.
func NewDesk(slots int, opts ...Option) *Desk {
	slots = max(slots, 1)
	d := &Desk{
		limiter:    newLimiter(AdaptiveLimit{}, slots),
		policy:     RankedQueue{},
		maxWaiting: slots * queuePerSlot,
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Admit decides on a new call. After VerdictStart the caller runs it and calls
// Done; after VerdictQueued it waits for Call.Decided.
func (d *Desk) Admit(now clock.Millis, c *Call) Verdict {
	if d.origins != nil {
		d.origins.Note(c.kind, c.origin)
	}
	c.class, c.onward = d.Place(c.class, c.kind, c.onward)
	c.first = !c.onward && !d.unlimited
	c.arrived = now
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.roll(now)
	v := d.admit(now, c)
	switch v {
	case VerdictShed:
		d.shortUntil = now + shortSpan
		fallthrough
	case VerdictExpired, VerdictOnward:
		c.state = callEnded
		c.strained = v != VerdictExpired
		d.load.refuse(c.class)
	case VerdictBusy:
		c.state = callEnded
	case VerdictStart, VerdictQueued:
	}
	return v
}

// shed tells why a call is refused for want of room.
func (d *Desk) shed(c *Call) Verdict {
	if d.mayStart(c) {
		return VerdictShed
	}
	return VerdictOnward
}

func (d *Desk) admit(now clock.Millis, c *Call) Verdict {
	if now >= c.deadline {
		return VerdictExpired
	}
	if d.running < d.limiter.current() && d.mayStart(c) {
		d.start(now, c)
		return VerdictStart
	}
	d.limiter.reached()
	if k := d.load.kinds[c.kind]; k != nil && !d.mayStart(c) {
		k.wanted(now)
	}
	share := d.shareBefore(c.class)
	wait := d.wait(c.class, c.kind, share)
	if d.hopeless(now, c, share, wait) {
		return d.shed(c)
	}
	if c.patience >= 0 && wait > float64(c.patience) {
		return VerdictBusy
	}
	if d.waiting >= d.maxWaiting && !d.makeRoom(c) {
		return d.shed(c)
	}
	c.decided = make(chan Verdict, 1)
	c.latest = d.latestStart(c)
	c.state = callWaiting
	d.queue(c).push(c)
	d.waiting++
	return VerdictQueued
}

// mayStart reports whether the quota of c's kind has room.
func (d *Desk) mayStart(c *Call) bool {
	if !c.first {
		return true
	}
	k := d.load.kinds[c.kind]
	return k == nil || !k.full(k.inFlight)
}

// queue returns the queue that c waits in. FIFOQueue has a single one.
func (d *Desk) queue(c *Call) *classQueue {
	if _, fifo := d.policy.(FIFOQueue); fifo {
		return &d.queues[0]
	}
	return &d.queues[c.class]
}

// Resize sets the slots of the upstream, at least one. Waiting calls get slots
// that became free.
func (d *Desk) Resize(now clock.Millis, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots = d.usable(max(slots, 1))
	if slots == d.limiter.slots {
		return
	}
	d.maxWaiting = d.maxWaiting * slots / d.limiter.slots
	d.limiter = newLimiter(d.limiter.policy, slots)
	d.startWaiting(now)
}

// usable returns the slots that may be used of all.
func (d *Desk) usable(slots int) int {
	return max(1, int(float64(slots)*(1-d.headroom)))
}

func (d *Desk) start(now clock.Millis, c *Call) {
	c.state = callRunning
	c.started = now
	c.strained = d.full(now, c)
	d.running++
	d.starts++
	if k := d.load.kind(c.kind); k != nil {
		k.inFlight++
	}
	d.load.start(c.class)
}

// Done ends a call that was started and starts those whose turn it is. After a
// positive span, in milliseconds, the caller calls Release.
func (d *Desk) Done(now clock.Millis, c *Call, r Result) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.state != callRunning {
		return 0
	}
	c.state = callEnded
	d.running--
	d.load.roll(now)
	span := float64(now - c.started)
	hold := clock.Millis(0)
	if k := d.load.kinds[c.kind]; k != nil {
		if c.first && r != ResultCancelled {
			hold = k.done(now, span, r != ResultOK, k.inFlight, d.strainOn(now, c, k))
		}
		if hold <= 0 {
			k.inFlight--
		}
	}
	if r != ResultCancelled && r != ResultFailed {
		d.load.finish(c.kind, span)
	}
	d.limiter.done(now, r)
	d.startWaiting(now)
	return hold
}

// Release frees the place of a call in the quota of its kind, which Done left
// taken.
func (d *Desk) Release(now clock.Millis, c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k := d.load.kinds[c.kind]; k != nil {
		k.inFlight--
	}
	d.startWaiting(now)
}

func (d *Desk) startWaiting(now clock.Millis) {
	for d.waiting > 0 && d.running < d.limiter.current() {
		c := d.pop()
		if c == nil {
			return
		}
		if now >= d.latestStart(c) {
			d.refuse(c, VerdictExpired)
			continue
		}
		d.waiting--
		d.start(now, c)
		c.decided <- VerdictStart
	}
}

// pop takes the call whose turn it is out of the queue: of the lowest class, but
// that each firstTurn-th start goes to first calls before onward calls.
func (d *Desk) pop() *Call {
	begin := 0
	if d.origins != nil && d.starts%firstTurn == 0 {
		begin = unprotectedBase
	}
	for i := range d.queues {
		if c := d.queues[(begin+i)%Classes].pop(d.mayStart); c != nil {
			return c
		}
	}
	return nil
}

// Cancel takes a waiting call out of the queue and reports whether it was
// still waiting. A call that is no longer waiting has a verdict in Decided.
func (d *Desk) Cancel(c *Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.state != callWaiting || !d.queue(c).remove(c) {
		return false
	}
	c.state = callEnded
	c.strained = true
	d.waiting--
	return true
}
