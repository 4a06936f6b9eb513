package kiln

import (
	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/ledger"
)

// The one-way delays between VMs, in milliseconds, with what the nodes add.
const (
	zoneDelay   = 0.3
	regionDelay = 0.7
	farDelay    = 30.2
)

// submit takes a call of a client or of the VM's own upstream. Done is called
// once, unless the node ends first.
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
			Kind:       k.Name,
			TargetTime: min(k.TargetTime, k.TimeLimit),
		}),
	}
	n.attempt(c, n.incarnation)
}

// try makes one attempt.
func (n *node) attempt(c *call, life int) {
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
	settled := false
	settle := func(a answer) {
		if settled || n.incarnation != life {
			return
		}
		settled = true
		n.handleAnswer(c, life, pick, now, a)
	}
	n.sim.scheduler.after(delay, func() {
		if !owner.up {
			n.sim.scheduler.after(delay, func() { settle(answer{outcome: refused, reason: nodeDown}) })
			return
		}
		owner.receive(c, func(a answer) { n.sim.scheduler.after(delay, func() { settle(a) }) })
	})
	n.sim.scheduler.after(float64(c.deadline-now), func() { settle(answer{outcome: lost, reachedUpstream: true}) })
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

// settle learns from the end of an attempt and makes another one, or answers.
func (n *node) handleAnswer(c *call, life int, pick dispatch.Pick, began clock.Millis, a answer) {
	now := n.now()
	switch {
	case a.reason == nodeDown || a.outcome == lost:
		pick.Target.EndFailed(now)
	case a.outcome == refused && !a.reachedUpstream:
		pick.Target.EndRefused()
	default:
		pick.Target.End(now, float64(now-began), a.outcome != answered)
	}
	if a.outcome != lost && a.reason != nodeDown {
		pick.Target.SetEstimate(now, c.kind.Name, a.estimate)
		if a.nested {
			n.controller.ObserveDownstreamOverload(now, a.overload)
		}
	}
	c.retry = c.retry || a.reachedUpstream
	c.attempts.End(a.reason == busy)
	if now < c.deadline && n.mayRetry(c, a) {
		n.attempt(c, life)
		return
	}
	c.done(a)
}

// goesOn reports whether a call gets another attempt, and pays for it.
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
