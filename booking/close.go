package booking

// Close makes the upstream take no new calls until Open. The calls that wait are
// refused with VerdictClosed, and so is each new one; those that run go on. It
// reports whether the upstream took calls before.
func (ct *Controller) Close() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.closed {
		return false
	}
	ct.closed = true
	for i := range ct.queues {
		for ct.queues[i].size > 0 {
			c := ct.queues[i].pop(func(*Call) bool { return true })
			c.state = callEnded
			ct.waiting--
			c.decided <- VerdictClosed
		}
	}
	return true
}

// Open makes the upstream take calls again after Close. It reports whether it took
// none before.
func (ct *Controller) Open() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	wasClosed := ct.closed
	ct.closed = false
	return wasClosed
}

// Closed reports whether the upstream takes no new calls. A call that was started
// before Close may not have been sent yet: check again right before it is.
func (ct *Controller) Closed() bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.closed
}
