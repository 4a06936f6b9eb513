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
	time := spec.ServiceTime.Seconds()
	for _, slow := range s.Slow {
		if slow == spec.Name {
			time *= s.SlowBy
		}
	}
	u := requestCost{slotSeconds: make(map[string]float64), runs: 1}
	for _, onward := range spec.Onward {
		child, childTime := e.costOf(onward, s)
		time += childTime
		u.runs += child.runs
		for name, seconds := range child.slotSeconds {
			u.slotSeconds[name] += seconds
		}
	}
	u.slotSeconds[spec.Name] += time
	return u, time
}

// ideal returns the goodput of each kind, in requests a second, that the
// slots allow in a stage when they serve the classes in order and nothing is
// wasted.
func (e *Experiment) idealGoodput(s Stage) map[string]float64 {
	left := make(map[string]float64)
	for _, spec := range e.Services {
		vms := spec.VMs - len(s.failedVMs(spec.Name))
		left[spec.Name] = float64(vms * spec.Slots)
	}
	kinds := slices.Clone(e.Kinds)
	slices.SortStableFunc(kinds, func(a, b KindSpec) int { return cmp.Compare(a.priorityClass(), b.priorityClass()) })
	out := make(map[string]float64)
	for i := 0; i < len(kinds); {
		j := i
		for j < len(kinds) && kinds[j].priorityClass() == kinds[i].priorityClass() {
			j++
		}
		e.fillClass(kinds[i:j], s, left, out)
		i = j
	}
	return out
}

// shareSteps is the number of equal parts in which a class is filled up.
const fillSteps = 1000

// share fills up the demand of the kinds of one class in small equal parts, so
// that kinds that compete for a service get equal shares of it.
func (e *Experiment) fillClass(kinds []KindSpec, s Stage, left, out map[string]float64) {
	var most float64
	for _, k := range kinds {
		most = max(most, k.Rate*s.rateFactor(k.Name))
	}
	part := most / fillSteps
	for range fillSteps {
		for _, k := range kinds {
			want := min(part, k.Rate*s.rateFactor(k.Name)-out[k.Name])
			u, time := e.costOf(k.Name, s)
			if want <= 0 || time > k.Target.Seconds() {
				continue
			}
			if hasCapacity(u, want, left) {
				consume(u, want, left)
				out[k.Name] += want
			}
		}
	}
}

func hasCapacity(u requestCost, rate float64, left map[string]float64) bool {
	for name, seconds := range u.slotSeconds {
		if left[name] < seconds*rate {
			return false
		}
	}
	return true
}

func consume(u requestCost, rate float64, left map[string]float64) {
	for name, seconds := range u.slotSeconds {
		left[name] -= seconds * rate
	}
}

func (k KindSpec) priorityClass() booking.Class { return booking.ClassOf(k.Protected, k.Rank) }

// failedOf returns the VMs of a service that a stage takes out.
func (s Stage) failedVMs(service string) []string {
	var out []string
	for _, list := range [][]string{s.Kill, s.Fail, s.Pause, s.Cut} {
		for _, vm := range list {
			if len(vm) > len(service) && vm[:len(service)+1] == service+"-" {
				out = append(out, vm)
			}
		}
	}
	return out
}
