package booking

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
	c.strained = true
	d.waiting--
	d.load.refuse(c.class)
	c.decided <- v
}
