package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// faultyProbe is the number of calls of which one tests a VM that answers mostly
// errors.
const faultyProbe = 16

// farRank is the least urgent rank of unprotected work that may leave the
// region.
const farRank = 3

// scanSize is the number of VMs of a tier up to which all are compared.
const scanSize = 4

// Request is a call that needs a VM.
type Request struct {
	// Service runs the kind of work.
	Service string
	Class   booking.Class
	// Kind is the kind of work.
	Kind string
	// Target is the time within which the answer is of full use, in
	// milliseconds.
	Target clock.Millis
	// Avoid names VMs that were tried already.
	Avoid []string
}

// Pick is the VM chosen for a call.
type Pick struct {
	VM     record.VM
	Target *Target
	Tier   Tier
	// Cost is the expected duration of the call, with what the distance adds,
	// and Spare how much longer it may take before the next best VM is better;
	// both in milliseconds.
	Cost, Spare float64
}

// unlimited is the Spare of the only VM, in milliseconds.
const unlimited = 1e9

// Router picks VMs. Readers take no lock. Create it with NewRouter.
type Router struct {
	self  string
	place Place
	// random returns a number below n; it is safe for concurrent use.
	random func(n int) int
	// mu serialises writers of plans and targets.
	mu      sync.Mutex
	plans   atomic.Pointer[map[string]*plan]
	targets map[string]*Target
}

// Option changes a Router.
type Option func(*Router)

// WithRandom sets the source of random numbers below n, which must be safe for
// concurrent use; the default is the generator of math/rand/v2.
func WithRandom(random func(n int) int) Option {
	return func(r *Router) { r.random = random }
}

// NewRouter returns a router without VMs for the node of a VM.
func NewRouter(self string, place Place, opts ...Option) *Router {
	r := &Router{
		self:    self,
		place:   place,
		random:  rand.IntN,
		targets: make(map[string]*Target),
	}
	r.plans.Store(&map[string]*plan{})
	for _, o := range opts {
		o(r)
	}
	return r
}

// Update takes the VMs of a service from a roster and forgets those that it no
// longer lists. It returns their names.
func (r *Router) Update(roster *record.Roster) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := roster.Service()
	next := maps.Clone(*r.plans.Load())
	gone := missing(next[service], roster)
	for _, name := range gone {
		delete(r.targets, name)
	}
	next[service] = newPlan(r.self, r.place, roster, r.targetLocked)
	r.plans.Store(&next)
	return gone
}

// missing returns the VMs of a plan's roster that a newer one does not list.
func missing(old *plan, roster *record.Roster) []string {
	if old == nil {
		return nil
	}
	listed := make(map[string]bool)
	for _, v := range roster.VMs() {
		listed[v.Name()] = true
	}
	var out []string
	for _, v := range old.roster.VMs() {
		if !listed[v.Name()] {
			out = append(out, v.Name())
		}
	}
	return out
}

// Target returns what the node knows of a VM; it is created when needed.
func (r *Router) Target(vm string) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetLocked(vm)
}

// Known reports whether the node knows anything of a VM.
func (r *Router) Known(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targets[vm] != nil
}

func (r *Router) targetLocked(vm string) *Target {
	t := r.targets[vm]
	if t == nil {
		t = NewTarget(vm)
		r.targets[vm] = t
	}
	return t
}

// Pick chooses a VM in the nearest tier that takes the class. VMs that answer
// mostly errors are left out as long as there is another one. It returns an
// *Error when there is none.
func (r *Router) Pick(now clock.Millis, q Request) (Pick, error) {
	p := (*r.plans.Load())[q.Service]
	if p == nil {
		return Pick{}, &Error{Op: "pick", Kind: KindNoVM, Service: q.Service}
	}
	s := search{now: now, request: q}
	if found, ok := r.search(p, &s); ok {
		return found, nil
	}
	s.faulty = true
	if found, ok := r.search(p, &s); ok {
		return found, nil
	}
	kind := KindNoVM
	if s.refused {
		kind = KindOverload
	}
	return Pick{}, &Error{Op: "pick", Kind: kind, Service: q.Service}
}

// search is one look for a VM.
type search struct {
	now     clock.Millis
	request Request
	// faulty admits VMs that answer mostly errors.
	faulty bool
	// refused is set when a VM was passed over because it refuses the class.
	refused bool
	// usual is the mean duration of a run over all VMs, in milliseconds.
	usual float64
	// errors is the share of errors that every VM answers.
	errors float64
}

// cost is the expected duration of the call on a VM, raised by the errors that
// the VM answers and by the use of its slots, in milliseconds.
func (s *search) cost(c *choice) float64 {
	t := c.target
	load := t.load(s.now)
	if slots := c.vm.Slots(); slots > 0 {
		load = max(load, float64(t.InFlight())/float64(slots))
	} else {
		load = max(load, float64(t.InFlight()))
	}
	run := t.run(s.now, s.request.Kind, t.latencyOr(s.usual)) + 1
	excess := max(0, t.errorShare(s.now)-s.errors)
	worth := max(float64(s.request.Target), run)
	return t.wait(s.now) + run*(1+load*load) + errorPenalty*worth*excess
}

// usualErrors returns the least share of errors that a VM answers: those that
// come from further down strike all VMs alike.
func (p *plan) usualErrors(now clock.Millis) float64 {
	least := 1.0
	for _, tier := range p.tiers {
		for _, c := range tier {
			least = min(least, c.target.errorShare(now))
		}
	}
	return least
}

// usualRun returns the mean duration of a run of a kind over all VMs.
func (p *plan) usualRun(now clock.Millis, kind string) float64 {
	sum, n := 0.0, 0
	for _, tier := range p.tiers {
		for _, c := range tier {
			if run := c.target.run(now, kind, c.target.latencyOr(0)); run > 0 {
				sum += run
				n++
			}
		}
	}
	return sum / float64(max(n, 1))
}

// search takes the cheapest VM of all tiers. The far tier is for classes that
// are worth it, and for all when no VM is alive in the region.
func (r *Router) search(p *plan, s *search) (Pick, bool) {
	s.usual = p.usualRun(s.now, s.request.Kind)
	s.errors = p.usualErrors(s.now)
	var best *choice
	var found Pick
	for tier := range p.tiers {
		if Tier(tier) == TierFar && !mayLeaveRegion(s.request.Class) && p.aliveNear(s.now) {
			break
		}
		c := r.pickIn(p.tiers[tier], s)
		if c == nil {
			continue
		}
		cost := tierCost(Tier(tier), s.request.Target) + s.cost(c)
		switch {
		case best == nil:
			found = Pick{Cost: cost, Spare: unlimited}
		case cost < found.Cost:
			found = Pick{Cost: cost, Spare: found.Cost - cost}
		default:
			found.Spare = min(found.Spare, cost-found.Cost)
			continue
		}
		best = c
		found.VM, found.Target, found.Tier = c.vm, c.target, Tier(tier)
	}
	return found, best != nil
}

// aliveNear reports whether a VM of the node's own region takes work.
func (p *plan) aliveNear(now clock.Millis) bool {
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
	return c.Protected() || c.Rank() <= farRank
}

// pickIn takes the cheapest of a few choices, or of two random ones of many, or
// any other when neither is usable; nil when none is.
func (r *Router) pickIn(choices []choice, s *search) *choice {
	n := len(choices)
	if n == 0 {
		return nil
	}
	if n <= scanSize {
		return r.cheapest(choices, s)
	}
	first := r.random(n)
	second := (first + 1 + r.random(n-1)) % n
	if c := r.cheapest([]choice{choices[first], choices[second]}, s); c != nil {
		return c
	}
	return r.cheapest(choices, s)
}

// cheapest scans the choices from a random start.
func (r *Router) cheapest(choices []choice, s *search) *choice {
	start := r.random(len(choices))
	var best *choice
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
	return best
}

// usable reports whether c takes the call. Now and then a call tests a VM that
// answers mostly errors.
func (r *Router) usable(c *choice, s *search) bool {
	if slices.Contains(s.request.Avoid, c.vm.Name()) {
		return false
	}
	t := c.target
	if t.Leaving(s.now) || t.Ejected(s.now) {
		return false
	}
	if t.refuses(s.now, s.request.Class) && !t.probe(s.now) {
		s.refused = true
		return false
	}
	return s.faulty || !t.faulty(s.now) || r.random(faultyProbe) == 0
}

// Address returns the address of a VM of a service, in whatever state it is.
func (r *Router) Address(service, vm string) (string, bool) {
	p := (*r.plans.Load())[service]
	if p == nil {
		return "", false
	}
	for _, v := range p.roster.VMs() {
		if v.Name() == vm {
			return v.Address(), true
		}
	}
	return "", false
}
