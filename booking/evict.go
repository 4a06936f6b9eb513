package booking

// evictFor evicts a waiting call of the highest class to make room for c and
// reports whether it did. It evicts no call of a class below c's, and none of
// c's class if no kind has more calls waiting there than c's kind.
func (ct *Controller) evictFor(c *Call) bool {
	if _, fifo := ct.queuePolicy.(FIFOQueue); fifo {
		return false
	}
	for i := NumClasses - 1; i >= int(c.class); i-- {
		q := &ct.queues[i]
		if q.size == 0 {
			continue
		}
		if i == int(c.class) && ct.isLargestKind(q, c.kind) {
			return false
		}
		ct.refuseWaiting(q.evict(), VerdictShed)
		return true
	}
	return false
}

// isLargestKind reports whether no kind has more calls waiting in q than the
// given one.
func (ct *Controller) isLargestKind(q *classQueue, kind string) bool {
	own := 0
	if k := q.findKind(kind); k != nil {
		own = k.size
	}
	for _, k := range q.kinds {
		if k.size > own {
			return false
		}
	}
	return true
}

// refuseWaiting delivers a refusal to a call that was removed from the queue.
func (ct *Controller) refuseWaiting(c *Call, v Verdict) {
	c.state = callEnded
	c.overloaded = true
	ct.waiting--
	ct.load.countRefusal(c.class)
	c.decided <- v
}
