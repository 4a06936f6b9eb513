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

// faultyProbe is the number of calls of which one tests a VM that answers mostly
// errors.
const faultyProbeOdds = 16

// farRank is the least urgent rank of unprotected work that may leave the
// region.
const maxFarRank = 3

// scanSize is the number of VMs of a tier up to which all are compared.
const fullScanLimit = 4

// Request is a call that needs a VM.
type Request struct {
	// Service runs the kind of work.
	Service string
	Class   booking.Class
	// Kind is the kind of work.
	Kind string
	// Target is the time within which the answer is of full use, in
	// milliseconds.
	TargetTime clock.Millis
	// Avoid names VMs that were tried already.
	Exclude []string
}

// Pick is the VM chosen for a call.
type Pick struct {
	VM     record.VM
	Target *Target
	Tier   Tier
	// Cost is the expected duration of the call, with what the distance adds,
	// and Spare how much longer it may take before the next best VM is better;
	// both in milliseconds.
	Cost, CostMargin float64
}

// unlimited is the Spare of the only VM, in milliseconds.
const unlimitedMargin = 1e9

// Router picks VMs. Readers take no lock. Create it with NewRouter.
type Router struct {
	self     string
	locality Locality
	// random returns a number below n; it is safe for concurrent use.
	random func(n int) int
	// mu serialises writers of plans and targets.
	mu      sync.Mutex
	subsets atomic.Pointer[map[string]*serviceSubset]
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
func NewRouter(self string, place Locality, opts ...Option) *Router {
	r := &Router{
		self:     self,
		locality: place,
		random:   rand.IntN,
		targets:  make(map[string]*Target),
	}
	r.subsets.Store(&map[string]*serviceSubset{})
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
	next := maps.Clone(*r.subsets.Load())
	gone := removedVMs(next[service], roster)
	for _, name := range gone {
		delete(r.targets, name)
	}
	next[service] = newServiceSubset(r.self, r.locality, roster, r.targetLocked)
	r.subsets.Store(&next)
	return gone
}

// missing returns the VMs of a plan's roster that a newer one does not list.
func removedVMs(old *serviceSubset, roster *record.Roster) []string {
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
	p := (*r.subsets.Load())[q.Service]
	if p == nil {
		return Pick{}, &Error{Op: "pick", Kind: KindNoVM, Service: q.Service}
	}
	s := selection{
		now:          now,
		request:      q,
		meanRun:      p.meanRun(now, q.Kind),
		minErrorRate: p.minErrorRate(now),
	}
	if found, ok := r.selectVM(p, &s); ok {
		return found, nil
	}
	s.allowFaulty = true
	if found, ok := r.selectVM(p, &s); ok {
		return found, nil
	}
	kind := KindNoVM
	if s.refused {
		kind = KindOverload
	}
	return Pick{}, &Error{Op: "pick", Kind: kind, Service: q.Service}
}

// Any returns a random VM of all services; none when no VM is listed.
func (r *Router) AnyVM() (record.VM, bool) {
	var vms []record.VM
	for _, p := range *r.subsets.Load() {
		vms = append(vms, p.roster.VMs()...)
	}
	if len(vms) == 0 {
		return record.VM{}, false
	}
	return vms[r.random(len(vms))], true
}

// Address returns the address of a VM of a service, in whatever state it is.
func (r *Router) Address(service, vm string) (string, bool) {
	p := (*r.subsets.Load())[service]
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
