package booking

import "cuminhollow.example/clock"

const (
	// A call may wait for a share of the time that is left after the reserve for
	// its run: minWaitShare when lower classes take nearly all starts, and
	// maxWaitShare when they take none and its place in the queue is certain.
	minWaitShare = 0.1
	maxWaitShare = 0.7
	// saturatedShare is the share of the starts at which lower classes are assumed
	// to leave none.
	saturatedShare = 0.98
)

// waitTooLong reports whether c would wait too long when lower classes take the
// given share of the starts. Only part of the time left may be spent waiting: a
// call that waits longer is often overtaken by more urgent work and then refused
// late.
func (ct *Controller) waitTooLong(now clock.Millis, c *Call, share, wait float64) bool {
	if _, ranked := ct.queuePolicy.(RankedQueue); !ranked {
		return false
	}
	if share >= saturatedShare {
		return true
	}
	until := c.deadline
	if !c.nested && c.usefulUntil > now {
		until = c.usefulUntil
	}
	left := float64(until-now) - ct.runReserve(c, until-now)
	return wait > left*(maxWaitShare-share*(maxWaitShare-minWaitShare))
}

// higherPriorityShare returns the share of the starts that go to lower classes,
// from 0 to 1. With nested call detection it leaves unprotected classes one of
// rootStartInterval starts, however many nested calls there are.
func (ct *Controller) higherPriorityShare(class Class) float64 {
	share := ct.load.higherPriorityShare(class)
	if ct.nestedDetector != nil && !class.Protected() {
		return min(share, 1-1.0/rootStartInterval)
	}
	return share
}

// estimateWait estimates how long a new call waits when lower classes take the
// given share of the starts, in milliseconds.
func (ct *Controller) estimateWait(class Class, kind string, share float64) float64 {
	ahead := ct.queues[class].callsAhead(kind)
	for i := range class {
		ahead += ct.queues[i].size
	}
	rate := float64(ct.limiter.current()) * (1 - min(share, saturatedShare))
	wait := float64(ahead+1) * ct.load.allKinds.mean / rate
	if ct.nestedDetector != nil && !class.Protected() {
		wait = min(wait, ct.rootTurnWait(class, kind))
	}
	return max(wait, ct.quotaWait(class, kind))
}

// rootTurnWait estimates how long a new root call waits if root calls get only
// one of rootStartInterval starts, in milliseconds.
func (ct *Controller) rootTurnWait(class Class, kind string) float64 {
	ahead := ct.queues[class].callsAhead(kind)
	for i := Class(firstUnprotected); i < class; i++ {
		ahead += ct.queues[i].size
	}
	return float64(ahead+1) * rootStartInterval * ct.load.allKinds.mean / float64(ct.limiter.current())
}

// quotaWait estimates how long a new call of a kind waits until the quota of the
// kind allows its start, in milliseconds.
func (ct *Controller) quotaWait(class Class, kind string) float64 {
	k := ct.load.kinds[kind]
	if k == nil || !k.atLimit(k.inFlight) {
		return 0
	}
	ahead := 0
	if q := ct.queues[class].findKind(kind); q != nil {
		ahead = q.size
	}
	return float64(ahead+1) * ct.load.meanRunTime(kind) / k.limit
}

// latestStart returns the time before which c must start: early enough to end by
// its deadline, or with another policy than RankedQueue the deadline itself.
func (ct *Controller) latestStart(c *Call) clock.Millis {
	if _, ranked := ct.queuePolicy.(RankedQueue); !ranked {
		return c.deadline
	}
	return c.deadline - clock.Millis(ct.runReserve(c, c.deadline-c.arrived))
}

// runReserve returns the part of a span that is reserved for the run of c, in
// milliseconds: the time within which most runs of its kind end, but at most the
// greater of half the span and the mean run time. The bound is there because a
// few slow runs must not keep calls from waiting at all.
func (ct *Controller) runReserve(c *Call, span clock.Millis) float64 {
	return min(ct.load.highRunTime(c.kind), max(float64(span)/2, ct.load.meanRunTime(c.kind)))
}
