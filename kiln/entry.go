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
		done(answer{outcome: lost, reason: gone})
		return
	}
	c := &call{
		kind:     k,
		origin:   n,
		deadline: deadline,
		useful:   n.now() + min(k.Target, k.Limit),
		account:  ledger.NewAccount(k.Tries - 1),
		done:     done,
		trip: dispatch.NewAttempts(dispatch.Request{
			Service:    k.Service,
			Class:      booking.ClassOf(false, k.Rank),
			Kind:       k.Name,
			TargetTime: min(k.Target, k.Limit),
		}),
	}
	n.try(c, n.life)
}

// try makes one attempt.
func (n *node) try(c *call, life int) {
	now := n.now()
	if now >= c.deadline {
		c.done(answer{outcome: refused, reason: expired})
		return
	}
	pick, err := c.trip.Next(now, n.router)
	if err != nil {
		c.done(answer{outcome: refused, reason: full})
		return
	}
	if c.trip.Count() == 1 {
		n.bucket(c.kind.Service).RecordFirst()
	}
	c.patience = c.trip.MaxWait()
	pick.Target.Begin()
	owner := n.world.nodes[pick.VM.Name()]
	delay := delayOf(pick.Tier)
	settled := false
	settle := func(a answer) {
		if settled || n.life != life {
			return
		}
		settled = true
		n.settle(c, life, pick, now, a)
	}
	n.world.agenda.after(delay, func() {
		if !owner.up {
			n.world.agenda.after(delay, func() { settle(answer{outcome: refused, reason: gone}) })
			return
		}
		owner.take(c, func(a answer) { n.world.agenda.after(delay, func() { settle(a) }) })
	})
	n.world.agenda.after(float64(c.deadline-now), func() { settle(answer{outcome: lost, reached: true}) })
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
func (n *node) settle(c *call, life int, pick dispatch.Pick, began clock.Millis, a answer) {
	now := n.now()
	switch {
	case a.reason == gone || a.outcome == lost:
		pick.Target.EndFailed(now)
	case a.outcome == refused && !a.reached:
		pick.Target.EndRejected()
	default:
		pick.Target.End(now, float64(now-began), a.outcome != answered)
	}
	if a.outcome != lost && a.reason != gone {
		pick.Target.SetEstimate(now, c.kind.Name, a.outlook)
		if a.onward {
			n.desk.ObserveDownstreamOverload(now, a.strain)
		}
	}
	c.repeat = c.repeat || a.reached
	c.trip.End(a.reason == busy)
	if now < c.deadline && n.goesOn(c, a) {
		n.try(c, life)
		return
	}
	c.done(a)
}

// goesOn reports whether a call gets another attempt, and pays for it.
func (n *node) goesOn(c *call, a answer) bool {
	switch {
	case a.reason == busy || a.reason == gone:
		if c.trip.TakeFailover() {
			return true
		}
	case a.outcome == refused && a.reason != expired:
	default:
		return false
	}
	return n.bucket(c.kind.Service).AllowRetry() && c.account.Spend()
}
