package dispatch

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

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

// Pick chooses a VM in the nearest tier that takes the class. It returns an
// *Error when there is none.
func (r *Router) Pick(now clock.Millis, q Request) (Pick, error) {
	p := (*r.plans.Load())[q.Service]
	if p == nil {
		return Pick{}, &Error{Op: "pick", Kind: KindNoVM, Service: q.Service}
	}
	kind := KindNoVM
	for tier := range p.tiers {
		if Tier(tier) == TierFar && !mayLeaveRegion(q.Class) && p.hasNear() {
			break
		}
		c, refused := r.pickIn(now, p.tiers[tier], q)
		if c != nil {
			return Pick{VM: c.vm, Target: c.target, Tier: Tier(tier)}, nil
		}
		if refused {
			kind = KindOverload
		}
	}
	return Pick{}, &Error{Op: "pick", Kind: kind, Service: q.Service}
}

// hasNear reports whether the service has VMs in the node's own region.
func (p *plan) hasNear() bool {
	return len(p.tiers[TierZone])+len(p.tiers[TierRegion]) > 0
}

// mayLeaveRegion reports whether a class is worth the links between regions
// when the service has VMs nearer by.
func mayLeaveRegion(c booking.Class) bool {
	return c.Protected() || c.Rank() <= farRank
}

// pickIn takes the better of two random choices, or any other when neither is
// usable. It reports as well whether a VM was passed over because it refuses
// the class.
func (r *Router) pickIn(now clock.Millis, choices []choice, q Request) (*choice, bool) {
	n := len(choices)
	if n == 0 {
		return nil, false
	}
	first := r.random(n)
	second := (first + 1 + r.random(max(n-1, 1))) % n
	a, b := &choices[first], &choices[second]
	aOK, aShed := a.usable(now, q)
	bOK, bShed := b.usable(now, q)
	switch {
	case aOK && bOK:
		return better(a, b), false
	case aOK:
		return a, bShed
	case bOK:
		return b, aShed
	default:
		return r.anyOf(now, choices, q, aShed || bShed)
	}
}

func better(a, b *choice) *choice {
	if b.target.score() < a.target.score() {
		return b
	}
	return a
}

// anyOf scans all choices from a random start.
func (r *Router) anyOf(now clock.Millis, choices []choice, q Request, refused bool) (*choice, bool) {
	start := r.random(len(choices))
	for i := range choices {
		c := &choices[(start+i)%len(choices)]
		ok, shed := c.usable(now, q)
		refused = refused || shed
		if ok {
			return c, refused
		}
	}
	return nil, refused
}

// usable reports whether c takes the call, and whether it would refuse the
// class.
func (c *choice) usable(now clock.Millis, q Request) (ok, shed bool) {
	for _, name := range q.Avoid {
		if name == c.vm.Name() {
			return false, false
		}
	}
	if c.target.Leaving(now) || c.target.Ejected(now) {
		return false, false
	}
	if c.target.refuses(now, q.Class) && !c.target.probe(now) {
		return false, true
	}
	return true, false
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
