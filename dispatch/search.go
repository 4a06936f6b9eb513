package dispatch

import (
	"slices"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// search is one look for a VM.
type selection struct {
	now     clock.Millis
	request Request
	// faulty admits VMs that answer mostly errors.
	allowFaulty bool
	// refused is set when a VM was passed over because it refuses the class.
	refused bool
	// usual is the mean duration of a run over all VMs, in milliseconds.
	meanRun float64
	// errors is the share of errors that every VM answers.
	minErrorRate float64
}

// cost is the expected duration of the call on a VM, raised by the errors that
// the VM answers and by the use of its slots, in milliseconds.
func (s *selection) cost(c *candidate) float64 {
	t := c.target
	load := t.reportedLoad(s.now)
	if slots := c.vm.Slots(); slots > 0 {
		load = max(load, float64(t.InFlight())/float64(slots))
	} else {
		load = max(load, float64(t.InFlight()))
	}
	run := t.meanRun(s.now, s.request.Kind, t.meanLatencyOr(s.meanRun)) + 1
	excess := max(0, t.currentErrorRate(s.now)-s.minErrorRate)
	worth := max(float64(s.request.TargetTime), run)
	return t.expectedWait(s.now, s.request.Kind) + run*(1+load*load) + errorPenalty*worth*excess
}

// search takes the cheapest VM of all tiers. The far tier is for classes that
// are worth it, and for all when no VM is alive in the region.
func (r *Router) selectVM(p *serviceSubset, s *selection) (Pick, bool) {
	var best *candidate
	var found Pick
	for tier := range p.tiers {
		if Tier(tier) == TierFar && !mayLeaveRegion(s.request.Class) && p.availableInRegion(s.now) {
			break
		}
		c, cost := r.pickInTier(p.tiers[tier], s)
		if c == nil {
			continue
		}
		cost += tierCost(Tier(tier), s.request.TargetTime)
		switch {
		case best == nil:
			found = Pick{Cost: cost, CostMargin: unlimitedMargin}
		case cost < found.Cost:
			found = Pick{Cost: cost, CostMargin: found.Cost - cost}
		default:
			found.CostMargin = min(found.CostMargin, cost-found.Cost)
			continue
		}
		best = c
		found.VM, found.Target, found.Tier = c.vm, c.target, Tier(tier)
	}
	return found, best != nil
}

// usualErrors returns the least share of errors that a VM answers: those that
// come from further down strike all VMs alike.
func (p *serviceSubset) minErrorRate(now clock.Millis) float64 {
	least := 1.0
	for _, tier := range p.tiers {
		for _, c := range tier {
			least = min(least, c.target.currentErrorRate(now))
		}
	}
	return least
}

// usualRun returns the mean duration of a run of a kind over all VMs.
func (p *serviceSubset) meanRun(now clock.Millis, kind string) float64 {
	sum, n := 0.0, 0
	for _, tier := range p.tiers {
		for _, c := range tier {
			if run := c.target.meanRun(now, kind, c.target.meanLatencyOr(0)); run > 0 {
				sum += run
				n++
			}
		}
	}
	return sum / float64(max(n, 1))
}

// aliveNear reports whether a VM of the node's own region takes work.
func (p *serviceSubset) availableInRegion(now clock.Millis) bool {
	for _, tier := range p.tiers[:TierFar] {
		for _, c := range tier {
			if !c.target.Leaving(now) && !c.target.Ejected(now) {
				return true
			}
		}
	}
	return false
}

// mayLeaveRegion reports whether a class is worth the links between regions
// when the service has VMs nearer by.
func mayLeaveRegion(c booking.Class) bool {
	return c.Protected() || c.Rank() <= maxFarRank
}

// pickIn takes the cheapest of a few choices, or of two random ones of many, or
// any other when neither is usable, and tells its cost; nil when none is.
func (r *Router) pickInTier(choices []candidate, s *selection) (*candidate, float64) {
	n := len(choices)
	if n == 0 {
		return nil, 0
	}
	if n <= fullScanLimit {
		return r.cheapest(choices, s)
	}
	first := r.random(n)
	second := (first + 1 + r.random(n-1)) % n
	if c, cost := r.cheapest([]candidate{choices[first], choices[second]}, s); c != nil {
		return c, cost
	}
	return r.cheapest(choices, s)
}

// cheapest scans the choices from a random start and tells the cost of the one
// that it takes; nil when none is usable.
func (r *Router) cheapest(choices []candidate, s *selection) (*candidate, float64) {
	start := r.random(len(choices))
	var best *candidate
	least := 0.0
	for i := range choices {
		c := &choices[(start+i)%len(choices)]
		if !r.usable(c, s) {
			continue
		}
		if cost := s.cost(c); best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best, least
}

// usable reports whether c takes the call. Now and then a call tests a VM that
// answers mostly errors.
func (r *Router) usable(c *candidate, s *selection) bool {
	if slices.Contains(s.request.Exclude, c.vm.Name()) {
		return false
	}
	t := c.target
	if t.Leaving(s.now) || t.Ejected(s.now) {
		return false
	}
	if t.refuses(s.now, s.request.Class) && !t.allowProbe(s.now) {
		s.refused = true
		return false
	}
	return s.allowFaulty || !t.faulty(s.now) || r.random(faultyProbeOdds) == 0
}
