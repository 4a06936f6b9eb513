package booking

import "sync"

// Parameters of Origins.
const (
	// originMemory is the number of calls of a kind after which the older ones
	// count by half.
	originHalveAt = 256
	// originMin is the number of calls of a kind below which nothing is said.
	originMinCalls = 12
	// originShare is the part of a kind's calls, for VMs of one service, above
	// which they are not those of outside callers, and originRatio the same in
	// units of an even share.
	nestedMinShare = 0.4
	nestedMinRatio = 1.6
	// originEvery is the number of calls of a kind after which it is judged again.
	classifyInterval = 8
	// originMargin keeps a tie from being decided by rounding.
	roundingMargin = 1e-9
)

// Origins learns which kinds of work are onward calls. Outside callers send
// their calls through the VMs of all services alike; an onward call begins on
// the VMs of the services that make it. It is safe for concurrent use. The zero
// value knows nothing.
type NestedDetector struct {
	mu sync.Mutex
	// kinds has at most maxKinds entries.
	kinds map[string]*originCounts
	// sizes is the number of VMs of each service.
	sizes map[string]int
}

// origin counts the calls of one kind by the service where they began.
type originCounts struct {
	total float64
	// onward is the last judgement, and unjudged the calls since.
	nested          bool
	sinceClassified int
	services        map[string]float64
}

// Resize sets the number of VMs of each service.
func (o *NestedDetector) SetServiceSizes(sizes map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sizes = sizes
	for _, k := range o.kinds {
		k.classify(sizes)
	}
}

// Note counts a call of a kind that began on a VM of a service.
func (o *NestedDetector) Observe(kind, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.kinds[kind]
	if k == nil {
		if len(o.kinds) >= maxKinds {
			return
		}
		if o.kinds == nil {
			o.kinds = make(map[string]*originCounts)
		}
		k = &originCounts{services: make(map[string]float64)}
		o.kinds[kind] = k
	}
	k.total++
	k.services[service]++
	if k.total >= originHalveAt {
		k.total /= 2
		for s := range k.services {
			k.services[s] /= 2
		}
	}
	if k.sinceClassified++; k.sinceClassified >= classifyInterval || k.total == originMinCalls {
		k.classify(o.sizes)
	}
}

// Onward reports whether the calls of a kind are made for work that runs
// already.
func (o *NestedDetector) Nested(kind string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := o.kinds[kind]
	return k != nil && k.nested
}

// judge tells from where the calls of the kind began whether they are onward
// calls, with the number of VMs of each service.
func (k *originCounts) classify(sizes map[string]int) {
	k.sinceClassified = 0
	if k.total < originMinCalls {
		return
	}
	sum, most := 0.0, 0.0
	for s, n := range k.services {
		perVM := n / float64(max(sizes[s], 1))
		sum += perVM
		most = max(most, perVM)
	}
	limit := nestedMinShare
	if n := len(sizes); n > 0 {
		limit = max(limit, nestedMinRatio/float64(n))
	}
	k.nested = most > limit*sum*(1+roundingMargin)
}
