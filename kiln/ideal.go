package kiln

import (
	"cmp"
	"slices"
)

// usage is the slot time that one request of a kind takes of each service, in
// milliseconds, at mean speed. A run holds its slot while its onward calls run.
func (p *Plan) slotTimePerRequest(name string, at Interval) (map[string]float64, float64) {
	k := p.kind(name)
	s := p.service(k.Service)
	out := make(map[string]float64)
	span := float64(k.ServiceTime) / s.meanSpeed(p, at)
	for _, c := range k.NestedCalls {
		part, one := p.slotTimePerRequest(c.Kind, at)
		span += one * float64(c.Count)
		for service, time := range part {
			out[service] += time * float64(c.Count)
		}
	}
	out[s.Name] += span
	return out, span
}

func (p *Plan) kind(name string) *Kind {
	i := slices.IndexFunc(p.Kinds, func(k Kind) bool { return k.Name == name })
	return &p.Kinds[i]
}

func (p *Plan) service(name string) *Service {
	i := slices.IndexFunc(p.Services, func(s Service) bool { return s.Name == name })
	return &p.Services[i]
}

// meanSpeed is the speed of all slots of a service together, in parts of as many
// slots of speed one.
func (s *Service) meanSpeed(p *Plan, at Interval) float64 {
	vms := s.VMsPerZone * len(p.Zones)
	sum := 0.0
	for i := range vms {
		speed := 1.0
		if len(s.Speeds) > 0 {
			speed = s.Speeds[i%len(s.Speeds)]
		}
		for _, t := range p.Disturbances {
			if slow, ok := t.(Slowdown); ok && slow.Service == s.Name && i < slow.VMs && slow.contains(at.From) {
				speed /= slow.Factor
			}
		}
		sum += speed
	}
	return sum / float64(vms)
}

// Best returns the part of the worth of a span's requests that the slots allow
// when nothing is wasted and what earns most for the slot that is scarcest goes
// first. What upstreams refuse on their own is left out.
func IdealShare(p *Plan, at Interval) float64 {
	left := make(map[string]float64)
	for _, s := range p.Services {
		left[s.Name] = float64(s.VMsPerZone*len(p.Zones)*s.Slots) * float64(at.To-at.From)
	}
	type offer struct {
		kind   *Kind
		usage  map[string]float64
		number float64
	}
	var offers []offer
	w := &simulation{plan: p}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		usage, _ := p.slotTimePerRequest(k.Name, at)
		offers = append(offers, offer{k, usage, k.Rate * w.burstFactor(k, at.From) * float64(at.To-at.From) / 1000})
	}
	price := func(o offer) float64 {
		most := 0.0
		for service, time := range o.usage {
			s := p.service(service)
			most = max(most, time/float64(s.VMsPerZone*len(p.Zones)*s.Slots))
		}
		return o.kind.Value / most
	}
	slices.SortFunc(offers, func(a, b offer) int { return cmp.Compare(price(b), price(a)) })
	owed, earned := 0.0, 0.0
	for _, o := range offers {
		owed += o.number * o.kind.Value
		number := o.number
		for service, time := range o.usage {
			number = min(number, left[service]/time)
		}
		for service, time := range o.usage {
			left[service] -= number * time
		}
		earned += number * o.kind.Value
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}
