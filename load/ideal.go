package main

import (
	"cmp"
	"slices"

	"cuminhollow.example/booking"
)

// requestCost is the work that one request causes, including its nested calls:
// slot-seconds by service, and runs in total.
type requestCost struct {
	slotSeconds map[string]float64
	runs        int
}

// costOf returns the cost of one request of a kind during a stage and the time
// in seconds that it takes without queueing. Nested calls are included: they
// run one after the other, and a run occupies its slot until they are done.
func (e *Experiment) costOf(kind string, s Stage) (requestCost, float64) {
	k := e.kind(kind)
	spec := e.service(k.Service)
	busySeconds := spec.ServiceTime.Seconds()
	for _, slow := range s.Slow {
		if slow == spec.Name {
			busySeconds *= s.SlowBy
		}
	}
	cost := requestCost{slotSeconds: make(map[string]float64), runs: 1}
	for _, nested := range spec.Onward {
		child, childSeconds := e.costOf(nested, s)
		busySeconds += childSeconds
		cost.runs += child.runs
		for name, seconds := range child.slotSeconds {
			cost.slotSeconds[name] += seconds
		}
	}
	cost.slotSeconds[spec.Name] += busySeconds
	return cost, busySeconds
}

// idealGoodput returns the maximum goodput of each kind in a stage, in requests
// per second, if slots serve the priority classes in order and no run is
// wasted.
func (e *Experiment) idealGoodput(s Stage) map[string]float64 {
	freeSlots := make(map[string]float64)
	for _, spec := range e.Services {
		vms := spec.VMs - len(s.failedVMs(spec.Name))
		freeSlots[spec.Name] = float64(vms * spec.Slots)
	}
	kinds := slices.Clone(e.Kinds)
	slices.SortStableFunc(kinds, func(a, b KindSpec) int { return cmp.Compare(a.priorityClass(), b.priorityClass()) })
	goodput := make(map[string]float64)
	for i := 0; i < len(kinds); {
		j := i
		for j < len(kinds) && kinds[j].priorityClass() == kinds[i].priorityClass() {
			j++
		}
		e.fillClass(kinds[i:j], s, freeSlots, goodput)
		i = j
	}
	return goodput
}

// fillSteps is the number of equal steps in which the demand of a priority
// class is served.
const fillSteps = 1000

// fillClass assigns free slots to the kinds of one priority class and adds the
// result to goodput. It proceeds in small equal steps of rate, so that kinds
// that compete for a service get equal rates. A kind that cannot meet its target
// time even without queueing gets nothing.
func (e *Experiment) fillClass(kinds []KindSpec, s Stage, freeSlots, goodput map[string]float64) {
	var maxRate float64
	for _, k := range kinds {
		maxRate = max(maxRate, k.Rate*s.rateFactor(k.Name))
	}
	step := maxRate / fillSteps
	for range fillSteps {
		for _, k := range kinds {
			increment := min(step, k.Rate*s.rateFactor(k.Name)-goodput[k.Name])
			cost, busySeconds := e.costOf(k.Name, s)
			if increment <= 0 || busySeconds > k.Target.Seconds() {
				continue
			}
			if hasCapacity(cost, increment, freeSlots) {
				consume(cost, increment, freeSlots)
				goodput[k.Name] += increment
			}
		}
	}
}

// hasCapacity reports whether the free slots suffice for requests of the given
// cost at rate, in requests per second.
func hasCapacity(cost requestCost, rate float64, freeSlots map[string]float64) bool {
	for name, seconds := range cost.slotSeconds {
		if freeSlots[name] < seconds*rate {
			return false
		}
	}
	return true
}

// consume subtracts the slots that requests of the given cost occupy at rate
// from freeSlots.
func consume(cost requestCost, rate float64, freeSlots map[string]float64) {
	for name, seconds := range cost.slotSeconds {
		freeSlots[name] -= seconds * rate
	}
}

// priorityClass returns the priority class in which nodes queue the kind.
func (k KindSpec) priorityClass() booking.Class { return booking.ClassOf(k.Protected, k.Rank) }

// failedVMs returns the names of the VMs of a service that a fault of the stage
// puts out of service.
func (s Stage) failedVMs(service string) []string {
	var vms []string
	for _, list := range [][]string{s.Kill, s.Fail, s.Pause, s.Cut} {
		for _, vm := range list {
			if len(vm) > len(service) && vm[:len(service)+1] == service+"-" {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}
