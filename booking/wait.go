package booking

import "cuminhollow.example/clock"

const (
	// waitShare is the part of its spare time that a call may wait when lower
	// classes take nearly everything, and waitShareAlone when they take nothing
	// and its place in the queue is certain.
	minWaitShare = 0.1
	maxWaitShare = 0.7
	// fullShare is the share of starts from which lower classes are taken to
	// leave nothing.
	saturatedShare = 0.98
)

// hopeless reports whether c would wait too long when lower classes take a share
// of the starts. It may wait for a part of its time only: what waits longer is often
// overtaken by more urgent work and then refused late.
func (d *Controller) waitTooLong(now clock.Millis, c *Call, share, wait float64) bool {
	if _, ranked := d.policy.(RankedQueue); !ranked {
		return false
	}
	if share >= saturatedShare {
		return true
	}
	until := c.deadline
	if !c.nested && c.usefulUntil > now {
		until = c.usefulUntil
	}
	left := float64(until-now) - d.runReserve(c, until-now)
	return wait > left*(maxWaitShare-share*(maxWaitShare-minWaitShare))
}

// shareBefore returns the share of the starts that go to lower classes, from 0 to
// 1. First calls get their turns however many onward calls there are.
func (d *Controller) higherPriorityShare(class Class) float64 {
	share := d.load.higherPriorityShare(class)
	if d.nestedDetector != nil && !class.Protected() {
		return min(share, 1-1.0/rootStartInterval)
	}
	return share
}

// wait estimates how long a new call waits when lower classes take a share of
// the starts, in milliseconds.
func (d *Controller) estimateWait(class Class, kind string, share float64) float64 {
	ahead := d.queues[class].callsAhead(kind)
	for i := range class {
		ahead += d.queues[i].size
	}
	rate := float64(d.limiter.current()) * (1 - min(share, saturatedShare))
	wait := float64(ahead+1) * d.load.allKinds.mean / rate
	if d.nestedDetector != nil && !class.Protected() {
		wait = min(wait, d.rootTurnWait(class, kind))
	}
	return max(wait, d.quotaWait(class, kind))
}

// turnWait estimates how long a new first call waits when it gets no more than
// the turns of first calls, in milliseconds.
func (d *Controller) rootTurnWait(class Class, kind string) float64 {
	ahead := d.queues[class].callsAhead(kind)
	for i := Class(firstUnprotected); i < class; i++ {
		ahead += d.queues[i].size
	}
	return float64(ahead+1) * rootStartInterval * d.load.allKinds.mean / float64(d.limiter.current())
}

// quotaWait estimates how long a new call of a kind waits for room in the quota
// of its kind, in milliseconds.
func (d *Controller) quotaWait(class Class, kind string) float64 {
	k := d.load.kinds[kind]
	if k == nil || !k.atLimit(k.inFlight) {
		return 0
	}
	ahead := 0
	if q := d.queues[class].findKind(kind); q != nil {
		ahead = q.size
	}
	return float64(ahead+1) * d.load.meanRunTime(kind) / k.limit
}

// latestStart returns when c must start to end by its deadline.
func (d *Controller) latestStart(c *Call) clock.Millis {
	if _, ranked := d.policy.(RankedQueue); !ranked {
		return c.deadline
	}
	return c.deadline - clock.Millis(d.runReserve(c, c.deadline-c.arrived))
}

// reserve returns the part of a span that is kept for the run of c: the time
// within which most runs of its kind end, but no more than half of the span while
// the mean fits, in milliseconds. A few slow runs must not keep calls from
// waiting at all.
func (d *Controller) runReserve(c *Call, span clock.Millis) float64 {
	return min(d.load.highRunTime(c.kind), max(float64(span)/2, d.load.meanRunTime(c.kind)))
}
