package kiln

import (
	"cmp"
	"slices"
)

// slotTimePerRequest returns the slot time that one request of a kind takes on
// each service, with its nested calls, and the duration of its run; both in
// milliseconds at the mean speed of the upstreams. A run keeps its slot while
// its nested calls run.
func (p *Plan) slotTimePerRequest(name string, at Interval) (map[string]float64, float64) {
	k := p.kind(name)
	s := p.service(k.Service)
	slotTime := make(map[string]float64)
	duration := float64(k.ServiceTime) / s.meanSpeed(p, at)
	for _, c := range k.NestedCalls {
		nested, nestedDuration := p.slotTimePerRequest(c.Kind, at)
		duration += nestedDuration * float64(c.Count)
		for service, time := range nested {
			slotTime[service] += time * float64(c.Count)
		}
	}
	slotTime[s.Name] += duration
	return slotTime, duration
}

func (p *Plan) kind(name string) *Kind {
	i := slices.IndexFunc(p.Kinds, func(k Kind) bool { return k.Name == name })
	return &p.Kinds[i]
}

func (p *Plan) service(name string) *Service {
	i := slices.IndexFunc(p.Services, func(s Service) bool { return s.Name == name })
	return &p.Services[i]
}

// vms returns the number of VMs of a service.
func (s *Service) vms(p *Plan) int { return s.VMsPerZone*len(p.Zones) + s.ExtraVMs }

// meanSpeed returns the mean speed of the VMs of a service, with the slowdowns
// at the beginning of an interval.
func (s *Service) meanSpeed(p *Plan, at Interval) float64 {
	vms := s.vms(p)
	sum := 0.0
	for i := range vms {
		speed := 1.0
		if len(s.Speeds) > 0 {
			speed = s.Speeds[i%len(s.Speeds)]
		}
		for _, d := range p.Disturbances {
			if slow, ok := d.(Slowdown); ok && slow.Service == s.Name && i < slow.VMs && slow.contains(at.From) {
				speed /= slow.Factor
			}
		}
		sum += speed
	}
	return sum / float64(vms)
}

// IdealShare returns the share of the value of an interval's requests that can
// be earned with the given slots if no slot time is wasted. Kinds run in
// descending order of value per capacity: the value of a request divided by the
// largest share that it takes of the capacity of any service. A Shedding is not
// taken into account.
func IdealShare(p *Plan, at Interval) float64 {
	left := make(map[string]float64)
	for _, s := range p.Services {
		left[s.Name] = float64(s.vms(p)*s.Slots) * float64(at.To-at.From)
	}
	type demand struct {
		kind     *Kind
		slotTime map[string]float64
		requests float64
	}
	var demands []demand
	sim := &simulation{plan: p}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		slotTime, _ := p.slotTimePerRequest(k.Name, at)
		demands = append(demands, demand{k, slotTime, k.Rate * sim.burstFactor(k, at.From) * float64(at.To-at.From) / 1000})
	}
	valuePerCapacity := func(d demand) float64 {
		largest := 0.0
		for service, time := range d.slotTime {
			s := p.service(service)
			largest = max(largest, time/float64(s.vms(p)*s.Slots))
		}
		return d.kind.Value / largest
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(valuePerCapacity(b), valuePerCapacity(a)) })
	total, earned := 0.0, 0.0
	for _, d := range demands {
		total += d.requests * d.kind.Value
		requests := d.requests
		for service, time := range d.slotTime {
			requests = min(requests, left[service]/time)
		}
		for service, time := range d.slotTime {
			left[service] -= requests * time
		}
		earned += requests * d.kind.Value
	}
	if total == 0 {
		return 1
	}
	return earned / total
}
