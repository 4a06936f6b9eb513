package booking

import "sync"

// Parameters of NestedDetector.
const (
	// originHalveAt is the number of calls of a kind at which its counts are
	// halved, so that older calls count less.
	originHalveAt = 256
	// originMinCalls is the number of calls of a kind below which it is not
	// classified.
	originMinCalls = 12
	// The calls of a kind are classified as nested, and not as those of outside
	// callers, if one service makes more than nestedMinShare of them and more than
	// nestedMinRatio times an even share. For these shares, the calls of each
	// service are divided by its number of VMs.
	nestedMinShare = 0.4
	nestedMinRatio = 1.6
	// classifyInterval is the number of calls of a kind after which it is
	// classified again.
	classifyInterval = 8
	// roundingMargin keeps rounding errors from deciding a tie.
	roundingMargin = 1e-9
)

// NestedDetector detects which kinds of work are nested calls. Outside callers
// send their calls through the VMs of all services alike, whereas a nested call
// comes from the VMs of the services that make it. It is safe for concurrent
// use. The zero value has seen no calls.
type NestedDetector struct {
	mu sync.Mutex
	// kinds has at most maxKinds entries.
	kinds map[string]*originCounts
	// sizes is the number of VMs of each service.
	sizes map[string]int
}

// originCounts counts the calls of one kind by the service that they come from.
type originCounts struct {
	// total is the sum of services, which are halved at originHalveAt.
	total float64
	// nested is the result of the last classification, and sinceClassified the
	// number of calls since.
	nested          bool
	sinceClassified int
	services        map[string]float64
}

// SetServiceSizes sets the number of VMs of each service.
func (d *NestedDetector) SetServiceSizes(sizes map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sizes = sizes
	for _, k := range d.kinds {
		k.classify(sizes)
	}
}

// Observe counts a call of a kind that comes from a VM of a service. Once it
// counts maxKinds kinds, it ignores calls of others.
func (d *NestedDetector) Observe(kind, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kinds[kind]
	if k == nil {
		if len(d.kinds) >= maxKinds {
			return
		}
		if d.kinds == nil {
			d.kinds = make(map[string]*originCounts)
		}
		k = &originCounts{services: make(map[string]float64)}
		d.kinds[kind] = k
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
		k.classify(d.sizes)
	}
}

// Nested reports whether the calls of a kind are classified as nested.
func (d *NestedDetector) Nested(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kinds[kind]
	return k != nil && k.nested
}

// classify decides by the origins of the kind's calls whether they are nested.
// sizes is the number of VMs of each service.
func (o *originCounts) classify(sizes map[string]int) {
	o.sinceClassified = 0
	if o.total < originMinCalls {
		return
	}
	sum, most := 0.0, 0.0
	for s, n := range o.services {
		perVM := n / float64(max(sizes[s], 1))
		sum += perVM
		most = max(most, perVM)
	}
	limit := nestedMinShare
	if n := len(sizes); n > 0 {
		limit = max(limit, nestedMinRatio/float64(n))
	}
	o.nested = most > limit*sum*(1+roundingMargin)
}
