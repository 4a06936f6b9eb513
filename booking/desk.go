package booking

import (
	"sync"

	"cuminhollow.example/clock"
)

const (
	// queuePerSlot is the default queue length for each slot.
	queuePerSlot = 8
	// waitShare is the part of its spare time that a call may wait when lower
	// classes take nearly everything, and waitShareAlone when they take nothing
	// and its place in the queue is certain.
	waitShare      = 0.1
	waitShareAlone = 0.7
	// fullShare is the share of starts from which lower classes are taken to
	// leave nothing.
	fullShare = 0.98
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
	queues     [Classes]classQueue
	// origins is nil where onward calls say so themselves.
	origins *Origins
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.roll(now)
	v := d.admit(now, c)
	switch v {
	case VerdictExpired, VerdictShed:
		c.state = callEnded
		d.load.refuse(c.class)
	case VerdictBusy:
		c.state = callEnded
	case VerdictStart, VerdictQueued:
	}
	return v
}

// Place returns the class in which a call of a class and kind is served, and
// whether it is an onward call: one that says so, or one of a kind that the desk
// has found to be. Those it has found come before all others.
func (d *Desk) Place(class Class, kind string, onward bool) (Class, bool) {
	switch {
	case onward:
		return class, true
	case d.origins == nil || !d.origins.Onward(kind):
		return class, false
	default:
		return ClassOf(true, class.Rank()), true
	}
}

// SetSizes tells the number of VMs of each service, by which the desk judges
// from where calls begin.
func (d *Desk) SetSizes(sizes map[string]int) {
	if d.origins != nil {
		d.origins.Resize(sizes)
	}
}

func (d *Desk) admit(now clock.Millis, c *Call) Verdict {
	if now >= c.deadline {
		return VerdictExpired
	}
	if d.running < d.limiter.current() && d.waiting == 0 {
		d.start(now, c)
		return VerdictStart
	}
	d.limiter.reached()
	share := d.load.shareBefore(c.class)
	wait := d.wait(c.class, c.kind, share)
	if d.hopeless(now, c, share, wait) {
		return VerdictShed
	}
	if c.patience >= 0 && wait > float64(c.patience) {
		return VerdictBusy
	}
	if d.waiting >= d.maxWaiting && !d.makeRoom(c) {
		return VerdictShed
	}
	c.decided = make(chan Verdict, 1)
	c.latest = d.latestStart(c)
	c.state = callWaiting
	d.queue(c).push(c)
	d.waiting++
	return VerdictQueued
}

// queue returns the queue that c waits in. FIFOQueue has a single one.
func (d *Desk) queue(c *Call) *classQueue {
	if _, fifo := d.policy.(FIFOQueue); fifo {
		return &d.queues[0]
	}
	return &d.queues[c.class]
}

// hopeless reports whether c would wait too long when lower classes take a share
// of the starts. It may wait for a part of its time only: what waits longer is often
// overtaken by more urgent work and then refused late.
func (d *Desk) hopeless(now clock.Millis, c *Call, share, wait float64) bool {
	if _, ranked := d.policy.(RankedQueue); !ranked {
		return false
	}
	if share >= fullShare {
		return true
	}
	left := float64(c.deadline-now) - d.load.likely(c.kind)
	return wait > left*(waitShareAlone-share*(waitShareAlone-waitShare))
}

// wait estimates how long a new call waits when lower classes take a share of
// the starts, in milliseconds.
func (d *Desk) wait(class Class, kind string, share float64) float64 {
	ahead := d.queues[class].ahead(kind)
	for i := range class {
		ahead += d.queues[i].size
	}
	rate := float64(d.limiter.current()) * (1 - min(share, fullShare))
	return float64(ahead+1) * d.load.all.mean / rate
}

// Outlook is what a new call would find at a desk.
type Outlook struct {
	// Wait is the expected wait for a slot, and Run the mean duration of a run
	// of the kind, 0 when unknown; both in milliseconds.
	Wait, Run float64
	// Load is the share of the slots in use, from 0 to 1.
	Load float64
}

// Outlook returns what a new call of a class and kind would find.
func (d *Desk) Outlook(now clock.Millis, class Class, kind string) Outlook {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.roll(now)
	limit := d.limiter.current()
	out := Outlook{Load: min(1, float64(d.running)/float64(limit))}
	if k := d.load.kinds[kind]; k != nil {
		out.Run = k.mean
	}
	if d.running >= limit {
		out.Wait = d.wait(class, kind, d.load.shareBefore(class))
	}
	return out
}

// Resize sets the slots of the upstream, at least one. Waiting calls get slots
// that became free.
func (d *Desk) Resize(now clock.Millis, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots = max(slots, 1)
	if slots == d.limiter.slots {
		return
	}
	d.maxWaiting = d.maxWaiting * slots / d.limiter.slots
	d.limiter = newLimiter(d.limiter.policy, slots)
	d.startWaiting(now)
}

// makeRoom evicts a call of the highest class that waits, unless that class
// comes before c's.
func (d *Desk) makeRoom(c *Call) bool {
	if _, fifo := d.policy.(FIFOQueue); fifo {
		return false
	}
	for i := Classes - 1; i >= int(c.class); i-- {
		q := &d.queues[i]
		if q.size == 0 {
			continue
		}
		if i == int(c.class) && d.holdsMost(q, c.kind) {
			return false
		}
		d.refuse(q.evict(), VerdictShed)
		return true
	}
	return false
}

// holdsMost reports whether no kind waits more than the given one.
func (d *Desk) holdsMost(q *classQueue, kind string) bool {
	own := 0
	if k := q.kindOf(kind); k != nil {
		own = k.size
	}
	for _, k := range q.kinds {
		if k.size > own {
			return false
		}
	}
	return true
}

func (d *Desk) refuse(c *Call, v Verdict) {
	c.state = callEnded
	d.waiting--
	d.load.refuse(c.class)
	c.decided <- v
}

func (d *Desk) start(now clock.Millis, c *Call) {
	c.state = callRunning
	c.started = now
	d.running++
	d.load.start(c.class)
}

// Done ends a call that was started and starts those whose turn it is.
func (d *Desk) Done(now clock.Millis, c *Call, r Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.state != callRunning {
		return
	}
	c.state = callEnded
	d.running--
	d.load.roll(now)
	if r != ResultCancelled && r != ResultFailed {
		d.load.finish(c.kind, float64(now-c.started))
	}
	d.limiter.done(now, r)
	d.startWaiting(now)
}

func (d *Desk) startWaiting(now clock.Millis) {
	for d.waiting > 0 && d.running < d.limiter.current() {
		c := d.pop()
		if now >= d.latestStart(c) {
			d.refuse(c, VerdictExpired)
			continue
		}
		d.waiting--
		d.start(now, c)
		c.decided <- VerdictStart
	}
}

// latestStart returns when c must start to end by its deadline.
func (d *Desk) latestStart(c *Call) clock.Millis {
	if _, ranked := d.policy.(RankedQueue); !ranked {
		return c.deadline
	}
	return c.deadline - clock.Millis(d.load.likely(c.kind))
}

func (d *Desk) pop() *Call {
	for i := range d.queues {
		if c := d.queues[i].pop(); c != nil {
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
	d.waiting--
	return true
}

// Level returns the first class that was refused lately, or Classes when none
// was. Calls of higher classes are not worth sending.
func (d *Desk) Level(now clock.Millis) Class {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load.roll(now)
	return d.load.level()
}

// Stats is the state of a Desk.
type Stats struct {
	// Limit, Running and Waiting are counts of calls.
	Limit, Running, Waiting int
	// Mean is the mean duration of a run, in milliseconds.
	Mean float64
}

// Stats returns the state now.
func (d *Desk) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{
		Limit:   d.limiter.current(),
		Running: d.running,
		Waiting: d.waiting,
		Mean:    d.load.all.mean,
	}
}
