package dispatch

import (
	"slices"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// selection holds the input and the result flags of one Pick.
type selection struct {
	now     clock.Millis
	request Request
	// allowFaulty includes VMs that mostly return errors.
	allowFaulty bool
	// rejected is set if a VM was skipped because it rejects the class.
	rejected bool
	// meanRunTime is the mean run time of the kind over all VMs, in milliseconds.
	meanRunTime float64
	// minErrorRate is the lowest error rate of all VMs, from 0 to 1.
	minErrorRate float64
}

// cost returns the expected duration of the call on a VM, raised by the load of
// the VM and by its error rate, in milliseconds.
func (s *selection) cost(c *candidate) float64 {
	t := c.target
	load := t.reportedLoad(s.now)
	if slots := c.vm.Slots(); slots > 0 {
		load = max(load, float64(t.InFlight())/float64(slots))
	} else {
		load = max(load, float64(t.InFlight()))
	}
	runTime := t.meanRunTime(s.now, s.request.Kind, t.meanLatencyOr(s.meanRunTime)) + 1
	excess := max(0, t.currentErrorRate(s.now)-s.minErrorRate)
	scale := max(float64(s.request.TargetTime), runTime)
	return t.expectedWait(s.now, s.request.Kind) + runTime*(1+load*load) + errorPenalty*scale*excess
}

// selectVM returns the cheapest VM of the best candidates of each tier. Other
// regions are considered only for urgent or protected classes, or if no VM of
// the own region is available.
func (r *Router) selectVM(ss *serviceSubset, s *selection) (Pick, bool) {
	var best *candidate
	var found Pick
	for tier := range ss.tiers {
		if Tier(tier) == TierFar && !mayLeaveRegion(s.request.Class) && ss.availableInRegion(s.now) {
			break
		}
		c, cost := r.pickInTier(ss.tiers[tier], s)
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

// minErrorRate returns the lowest error rate of all VMs, from 0 to 1. Errors of
// a downstream service affect all VMs alike, so only the excess over this rate
// counts against a VM.
func (ss *serviceSubset) minErrorRate(now clock.Millis) float64 {
	least := 1.0
	for _, tier := range ss.tiers {
		for _, c := range tier {
			least = min(least, c.target.currentErrorRate(now))
		}
	}
	return least
}

// meanRunTime returns the mean run time of a kind over all VMs, in
// milliseconds, or 0 if it is unknown.
func (ss *serviceSubset) meanRunTime(now clock.Millis, kind string) float64 {
	sum, n := 0.0, 0
	for _, tier := range ss.tiers {
		for _, c := range tier {
			if runTime := c.target.meanRunTime(now, kind, c.target.meanLatencyOr(0)); runTime > 0 {
				sum += runTime
				n++
			}
		}
	}
	return sum / float64(max(n, 1))
}

// availableInRegion reports whether a VM of the node's region is neither
// leaving nor ejected.
func (ss *serviceSubset) availableInRegion(now clock.Millis) bool {
	for _, tier := range ss.tiers[:TierFar] {
		for _, c := range tier {
			if !c.target.Leaving(now) && !c.target.Ejected(now) {
				return true
			}
		}
	}
	return false
}

// mayLeaveRegion reports whether calls of a class may use the links between
// regions although the service has VMs in the own region.
func mayLeaveRegion(c booking.Class) bool {
	return c.Protected() || c.Rank() <= maxFarRank
}

// pickInTier returns the cheapest of two random candidates and its cost. It
// compares all candidates if they are few or if neither of the two is usable,
// and returns nil if none is usable.
func (r *Router) pickInTier(candidates []candidate, s *selection) (*candidate, float64) {
	n := len(candidates)
	if n == 0 {
		return nil, 0
	}
	if n <= fullScanLimit {
		return r.cheapest(candidates, s)
	}
	first := r.random(n)
	second := (first + 1 + r.random(n-1)) % n
	if c, cost := r.cheapest([]candidate{candidates[first], candidates[second]}, s); c != nil {
		return c, cost
	}
	return r.cheapest(candidates, s)
}

// cheapest returns the usable candidate with the lowest cost and that cost, or
// nil if none is usable. The scan starts at random so that ties are spread.
func (r *Router) cheapest(candidates []candidate, s *selection) (*candidate, float64) {
	start := r.random(len(candidates))
	var best *candidate
	least := 0.0
	for i := range candidates {
		c := &candidates[(start+i)%len(candidates)]
		if !r.usable(c, s) {
			continue
		}
		if cost := s.cost(c); best == nil || cost < least {
			best, least = c, cost
		}
	}
	return best, least
}

// usable reports whether the call may be sent to c. A few calls probe VMs that
// reject the class or that mostly return errors.
func (r *Router) usable(c *candidate, s *selection) bool {
	if slices.Contains(s.request.Exclude, c.vm.Name()) {
		return false
	}
	t := c.target
	if t.Leaving(s.now) || t.Ejected(s.now) {
		return false
	}
	if !s.request.Nested && t.rejects(s.now, s.request.Class) && !t.allowProbe(s.now) {
		s.rejected = true
		return false
	}
	return s.allowFaulty || !t.faulty(s.now) || r.random(faultyProbeOdds) == 0
}
