package main

import (
	"cmp"
	"slices"

	"cuminhollow.example/booking"
)

// usage is what one request takes of each service: slot-seconds and runs.
type requestCost struct {
	slotSeconds map[string]float64
	runs        int
}

// usageOf follows the onward calls of a kind. A run holds its slot while its
// onward calls run.
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

// ideal returns the goodput of each kind, in requests a second, that the
// slots allow in a stage when they serve the classes in order and nothing is
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

// shareSteps is the number of equal parts in which a class is filled up.
const fillSteps = 1000

// share fills up the demand of the kinds of one class in small equal parts, so
// that kinds that compete for a service get equal shares of it.
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

func hasCapacity(cost requestCost, rate float64, freeSlots map[string]float64) bool {
	for name, seconds := range cost.slotSeconds {
		if freeSlots[name] < seconds*rate {
			return false
		}
	}
	return true
}

func consume(cost requestCost, rate float64, freeSlots map[string]float64) {
	for name, seconds := range cost.slotSeconds {
		freeSlots[name] -= seconds * rate
	}
}

func (k KindSpec) priorityClass() booking.Class { return booking.ClassOf(k.Protected, k.Rank) }

// failedOf returns the VMs of a service that a stage takes out.
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
