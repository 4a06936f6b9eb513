package kiln

import (
	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/ledger"
)

// The one-way delays between VMs in the same zone, in the same region and in
// different regions, in milliseconds. They include the overhead of the nodes.
const (
	zoneDelay   = 0.3
	regionDelay = 0.7
	farDelay    = 30.2
)

// submit handles a call of a client or of the VM's own upstream as its entry
// node. It calls done once, unless the node stops first.
func (n *node) submit(k *Kind, deadline clock.Millis, done func(answer)) {
	if !n.up {
		done(answer{outcome: lost, reason: nodeDown})
		return
	}
	c := &call{
		kind:        k,
		origin:      n,
		deadline:    deadline,
		usefulUntil: n.now() + min(k.TargetTime, k.TimeLimit),
		account:     ledger.NewAccount(k.Tries - 1),
		done:        done,
		attempts: dispatch.NewAttempts(dispatch.Request{
			Service:    k.Service,
			Class:      booking.ClassOf(false, k.Rank),
			Nested:     n.nestedKinds[k.Name],
			Kind:       k.Name,
			TargetTime: min(k.TargetTime, k.TimeLimit),
		}),
	}
	n.attempt(c, n.incarnation)
}

// attempt picks a VM and sends the call there.
func (n *node) attempt(c *call, incarnation int) {
	now := n.now()
	if now >= c.deadline {
		c.done(answer{outcome: refused, reason: expired})
		return
	}
	pick, err := c.attempts.Next(now, n.router)
	if err != nil {
		c.done(answer{outcome: refused, reason: noCapacity})
		return
	}
	if c.attempts.Count() == 1 {
		n.retryBucket(c.kind.Service).RecordFirst()
	}
	c.maxWait = c.attempts.MaxWait()
	pick.Target.Begin()
	owner := n.sim.nodesByName[pick.VM.Name()]
	delay := delayOf(pick.Tier)
	ended := false
	end := func(a answer) {
		if ended || n.incarnation != incarnation {
			return
		}
		ended = true
		n.handleAnswer(c, incarnation, pick, now, a)
	}
	n.sim.scheduler.after(delay, func() {
		if !owner.up {
			n.sim.scheduler.after(delay, func() { end(answer{outcome: refused, reason: nodeDown}) })
			return
		}
		owner.receive(c, func(a answer) { n.sim.scheduler.after(delay, func() { end(a) }) })
	})
	n.sim.scheduler.after(float64(c.deadline-now), func() { end(answer{outcome: lost, reachedUpstream: true}) })
}

func delayOf(t dispatch.Tier) float64 {
	switch t {
	case dispatch.TierZone:
		return zoneDelay
	case dispatch.TierRegion:
		return regionDelay
	default:
		return farDelay
	}
}

// handleAnswer updates the state of the VM after an attempt, and starts the
// next attempt or answers the call. It is called at most once for each attempt.
func (n *node) handleAnswer(c *call, incarnation int, pick dispatch.Pick, started clock.Millis, a answer) {
	now := n.now()
	switch {
	case a.reason == nodeDown || a.outcome == lost:
		pick.Target.EndFailed(now)
	case a.outcome == refused && !a.reachedUpstream:
		pick.Target.EndRejected()
	default:
		pick.Target.End(now, float64(now-started), a.outcome != answered)
	}
	if a.outcome != lost && a.reason != nodeDown {
		pick.Target.SetEstimate(now, c.kind.Name, a.estimate)
		pick.Target.SetLevel(now, a.level)
		n.nestedKinds[c.kind.Name] = a.nested
		if a.nested {
			n.controller.ObserveDownstreamOverload(now, a.overload)
		}
	}
	c.retry = c.retry || a.reachedUpstream
	c.attempts.End(a.reason == busy)
	if now < c.deadline && n.mayRetry(c, a) {
		n.attempt(c, incarnation)
		return
	}
	c.done(a)
}

// mayRetry reports whether a call gets another attempt. It takes the attempt
// from the failovers of the call, or else from the retry bucket of the service
// and the account of the call.
func (n *node) mayRetry(c *call, a answer) bool {
	switch {
	case a.reason == busy || a.reason == nodeDown:
		if c.attempts.TakeFailover() {
			return true
		}
	case a.outcome == refused && a.reason != expired:
	default:
		return false
	}
	return n.retryBucket(c.kind.Service).AllowRetry() && c.account.Spend()
}
