package booking

import "cuminhollow.example/clock"

const (
	// waitShare is the part of its spare time that a call may wait when lower
	// classes take nearly everything, and waitShareAlone when they take nothing
	// and its place in the queue is certain.
	waitShare      = 0.1
	waitShareAlone = 0.7
	// fullShare is the share of starts from which lower classes are taken to
	// leave nothing.
	fullShare = 0.98
)

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
	until := c.deadline
	if !c.onward && c.useful > now {
		until = c.useful
	}
	left := float64(until-now) - d.reserve(c, until-now)
	return wait > left*(waitShareAlone-share*(waitShareAlone-waitShare))
}

// shareBefore returns the share of the starts that go to lower classes, from 0 to
// 1. First calls get their turns however many onward calls there are.
func (d *Desk) shareBefore(class Class) float64 {
	share := d.load.shareBefore(class)
	if d.origins != nil && !class.Protected() {
		return min(share, 1-1.0/firstTurn)
	}
	return share
}

// wait estimates how long a new call waits when lower classes take a share of
// the starts, in milliseconds.
func (d *Desk) wait(class Class, kind string, share float64) float64 {
	ahead := d.queues[class].ahead(kind)
	for i := range class {
		ahead += d.queues[i].size
	}
	rate := float64(d.limiter.current()) * (1 - min(share, fullShare))
	wait := float64(ahead+1) * d.load.all.mean / rate
	if d.origins != nil && !class.Protected() {
		wait = min(wait, d.turnWait(class, kind))
	}
	return max(wait, d.quotaWait(class, kind))
}

// turnWait estimates how long a new first call waits when it gets no more than
// the turns of first calls, in milliseconds.
func (d *Desk) turnWait(class Class, kind string) float64 {
	ahead := d.queues[class].ahead(kind)
	for i := Class(unprotectedBase); i < class; i++ {
		ahead += d.queues[i].size
	}
	return float64(ahead+1) * firstTurn * d.load.all.mean / float64(d.limiter.current())
}

// quotaWait estimates how long a new call of a kind waits for room in the quota
// of its kind, in milliseconds.
func (d *Desk) quotaWait(class Class, kind string) float64 {
	k := d.load.kinds[kind]
	if k == nil || !k.full(k.inFlight) {
		return 0
	}
	ahead := 0
	if q := d.queues[class].kindOf(kind); q != nil {
		ahead = q.size
	}
	return float64(ahead+1) * d.load.mean(kind) / k.limit
}

// latestStart returns when c must start to end by its deadline.
func (d *Desk) latestStart(c *Call) clock.Millis {
	if _, ranked := d.policy.(RankedQueue); !ranked {
		return c.deadline
	}
	return c.deadline - clock.Millis(d.reserve(c, c.deadline-c.arrived))
}

// reserve returns the part of a span that is kept for the run of c: the time
// within which most runs of its kind end, but no more than half of the span while
// the mean fits, in milliseconds. A few slow runs must not keep calls from
// waiting at all.
func (d *Desk) reserve(c *Call, span clock.Millis) float64 {
	return min(d.load.likely(c.kind), max(float64(span)/2, d.load.mean(c.kind)))
}
