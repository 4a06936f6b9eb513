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

// faultyProbeOdds is the mean number of calls of which one probes a VM that
// mostly returns errors.
const faultyProbeOdds = 16

// maxFarRank is the highest (least urgent) rank of unprotected work that may
// leave the region.
const maxFarRank = 3

// fullScanLimit is the number of VMs in a tier up to which all are compared.
const fullScanLimit = 4

// Request describes a call for which a VM is picked.
type Request struct {
	// Service is the service that runs the kind of work.
	Service string
	Class   booking.Class
	// Nested marks a call that an upstream makes while it runs another one. It is
	// sent although VMs reject its class: when it fails, the work of that run is lost.
	Nested bool
	// Kind is the kind of work.
	Kind string
	// TargetTime is the time within which the answer has its full value, in
	// milliseconds.
	TargetTime clock.Millis
	// Exclude names the VMs that must not be picked, such as those already
	// tried.
	Exclude []string
}

// Pick is the VM chosen for a call.
type Pick struct {
	VM     record.VM
	Target *Target
	Tier   Tier
	// Cost is the expected duration of the call with the cost of the distance.
	// CostMargin is by how much the cheapest VM of any other tier costs more.
	// Both are in milliseconds.
	Cost, CostMargin float64
}

// unlimitedMargin is the CostMargin of a pick without an alternative, in
// milliseconds.
const unlimitedMargin = 1e9

// Router picks VMs for calls. It is safe for concurrent use; Pick takes no
// lock. Create it with NewRouter.
type Router struct {
	self     string
	locality Locality
	// random returns a number from 0 to n-1. It is safe for concurrent use.
	random func(n int) int
	// mu serialises changes of subsets and guards targets.
	mu      sync.Mutex
	subsets atomic.Pointer[map[string]*serviceSubset]
	targets map[string]*Target
}

// Option configures a Router.
type Option func(*Router)

// WithRandom sets the source of random numbers from 0 to n-1, which must be
// safe for concurrent use. The default is rand.IntN of math/rand/v2.
func WithRandom(random func(n int) int) Option {
	return func(r *Router) { r.random = random }
}

// NewRouter returns a router without VMs. The arguments are the name of the VM
// of the node and its locality.
func NewRouter(self string, locality Locality, opts ...Option) *Router {
	r := &Router{
		self:     self,
		locality: locality,
		random:   rand.IntN,
		targets:  make(map[string]*Target),
	}
	r.subsets.Store(&map[string]*serviceSubset{})
	for _, o := range opts {
		o(r)
	}
	return r
}

// Update replaces the VMs of a service with those of a roster. It drops the
// state of VMs that the roster no longer lists and returns their names.
func (r *Router) Update(roster *record.Roster) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	service := roster.Service()
	next := maps.Clone(*r.subsets.Load())
	removed := removedVMs(next[service], roster)
	for _, name := range removed {
		delete(r.targets, name)
	}
	next[service] = newServiceSubset(r.self, r.locality, roster, r.targetLocked)
	r.subsets.Store(&next)
	return removed
}

// removedVMs returns the VMs of an old subset's roster that a newer roster does
// not list.
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

// Target returns the state of a VM and creates it if needed.
func (r *Router) Target(vm string) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetLocked(vm)
}

// Known reports whether the router holds state of a VM.
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

// Pick returns the VM with the lowest cost, distance included, among the
// candidates of each tier. VMs that mostly return errors are skipped while
// another VM is usable, apart from a few probes. It returns an *Error if no VM
// is usable.
func (r *Router) Pick(now clock.Millis, q Request) (Pick, error) {
	ss := (*r.subsets.Load())[q.Service]
	if ss == nil {
		return Pick{}, &Error{Op: "pick", Kind: KindNoVM, Service: q.Service}
	}
	s := selection{
		now:          now,
		request:      q,
		meanRunTime:  ss.meanRunTime(now, q.Kind),
		minErrorRate: ss.minErrorRate(now),
	}
	if found, ok := r.selectVM(ss, &s); ok {
		return found, nil
	}
	s.allowFaulty = true
	if found, ok := r.selectVM(ss, &s); ok {
		return found, nil
	}
	kind := KindNoVM
	if s.rejected {
		kind = KindOverload
	}
	return Pick{}, &Error{Op: "pick", Kind: kind, Service: q.Service}
}

// AnyVM returns a random VM of any service; false if no VM is listed.
func (r *Router) AnyVM() (record.VM, bool) {
	var vms []record.VM
	for _, ss := range *r.subsets.Load() {
		vms = append(vms, ss.roster.VMs()...)
	}
	if len(vms) == 0 {
		return record.VM{}, false
	}
	return vms[r.random(len(vms))], true
}

// Address returns the address of a VM of a service, whatever its state; false
// if it is not listed.
func (r *Router) Address(service, vm string) (string, bool) {
	ss := (*r.subsets.Load())[service]
	if ss == nil {
		return "", false
	}
	for _, v := range ss.roster.VMs() {
		if v.Name() == vm {
			return v.Address(), true
		}
	}
	return "", false
}
