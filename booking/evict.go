package booking

// makeRoom evicts a call of the highest class that waits, unless that class
// comes before c's.
func (d *Controller) evictFor(c *Call) bool {
	if _, fifo := d.policy.(FIFOQueue); fifo {
		return false
	}
	for i := NumClasses - 1; i >= int(c.class); i-- {
		q := &d.queues[i]
		if q.size == 0 {
			continue
		}
		if i == int(c.class) && d.isLargestKind(q, c.kind) {
			return false
		}
		d.refuseWaiting(q.evict(), VerdictShed)
		return true
	}
	return false
}

// holdsMost reports whether no kind waits more than the given one.
func (d *Controller) isLargestKind(q *classQueue, kind string) bool {
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

func (d *Controller) refuseWaiting(c *Call, v Verdict) {
	c.state = callEnded
	c.overloaded = true
	d.waiting--
	d.load.countRefusal(c.class)
	c.decided <- v
}
