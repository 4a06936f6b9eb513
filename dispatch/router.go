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

// Request is a call that needs a VM.
type Request struct {
	// Service runs the kind of work.
	Service string
	Class   booking.Class
	// Avoid names VMs that were tried already.
	Avoid []string
}

// Pick is the VM chosen for a call.
type Pick struct {
	VM     record.VM
	Target *Target
	Tier   Tier
}

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
}

// search looks through the tiers, nearest first. The far tier is for classes
// that are worth it, and for all when no VM is alive in the region.
func (r *Router) search(p *plan, s *search) (Pick, bool) {
	for tier := range p.tiers {
		if Tier(tier) == TierFar && !mayLeaveRegion(s.request.Class) && p.aliveNear(s.now) {
			break
		}
		if c := r.pickIn(p.tiers[tier], s); c != nil {
			return Pick{VM: c.vm, Target: c.target, Tier: Tier(tier)}, true
		}
	}
	return Pick{}, false
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

// pickIn takes the better of two random choices, or any other when neither is
// usable; nil when none is.
func (r *Router) pickIn(choices []choice, s *search) *choice {
	n := len(choices)
	if n == 0 {
		return nil
	}
	first := r.random(n)
	second := (first + 1 + r.random(max(n-1, 1))) % n
	a, b := &choices[first], &choices[second]
	aOK, bOK := r.usable(a, s), r.usable(b, s)
	switch {
	case aOK && bOK:
		return better(a, b)
	case aOK:
		return a
	case bOK:
		return b
	default:
		return r.anyOf(choices, s)
	}
}

func better(a, b *choice) *choice {
	if b.target.score() < a.target.score() {
		return b
	}
	return a
}

// anyOf scans all choices from a random start.
func (r *Router) anyOf(choices []choice, s *search) *choice {
	start := r.random(len(choices))
	for i := range choices {
		if c := &choices[(start+i)%len(choices)]; r.usable(c, s) {
			return c
		}
	}
	return nil
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
	return s.faulty || !t.faulty() || r.random(faultyProbe) == 0
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
