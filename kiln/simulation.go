package kiln

import (
	"fmt"
	"math/rand/v2"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// settleSpan is how long a run goes on after the clients' last request, in
// milliseconds.
const drainTime = 7 * clock.Second

// world is one run of a plan.
type simulation struct {
	plan      *Plan
	random    *rand.Rand
	scheduler scheduler
	kinds     map[string]*Kind
	// sizes is the number of VMs of each service.
	serviceSizes map[string]int
	rosters      []*record.Roster
	nodesByName  map[string]*node
	// order holds the nodes in the order in which they were made, and zones those
	// of each zone.
	nodes             []*node
	nodesByZone       map[string][]*node
	result            *Result
	controllerOptions []booking.Option
}

// Run plays a plan and returns what clients got. Options change the desks.
func Run(p *Plan, opts ...booking.Option) *Result {
	w := &simulation{
		plan:              p,
		random:            rand.New(rand.NewPCG(p.Seed, p.Seed)),
		kinds:             make(map[string]*Kind),
		serviceSizes:      make(map[string]int),
		nodesByName:       make(map[string]*node),
		nodesByZone:       make(map[string][]*node),
		result:            newResult(p),
		controllerOptions: opts,
	}
	for i := range p.Kinds {
		w.kinds[p.Kinds[i].Name] = &p.Kinds[i]
	}
	for i := range p.Services {
		w.addService(&p.Services[i])
	}
	for _, n := range w.nodes {
		n.start()
	}
	for _, t := range p.Disturbances {
		if r, ok := t.(Restart); ok {
			w.scheduler.after(float64(r.From), w.stopNodes)
			w.scheduler.after(float64(r.To), w.startNodes)
		}
	}
	for i := range p.Kinds {
		for _, z := range p.Zones {
			w.scheduleArrival(&client{sim: w, kind: &p.Kinds[i], zone: z})
		}
	}
	w.scheduler.run(fromMillis(float64(p.Length + drainTime)))
	return w.result
}

// build makes the VMs of a service.
func (w *simulation) addService(s *Service) {
	var vms []record.VM
	for range s.VMsPerZone {
		for _, z := range w.plan.Zones {
			number := len(vms)
			v := record.NewVM(fmt.Sprintf("%s-%d", s.Name, number), z.Region, z.Name, "h:1", record.StateLive).
				WithUpstream("h:2", s.Slots)
			vms = append(vms, v)
			speed := 1.0
			if len(s.Speeds) > 0 {
				speed = s.Speeds[number%len(s.Speeds)]
			}
			n := &node{sim: w, vm: v, service: s, upstream: &upstream{sim: w, service: s, index: number, speed: speed}}
			w.nodesByName[v.Name()] = n
			w.nodes = append(w.nodes, n)
			w.nodesByZone[z.Name] = append(w.nodesByZone[z.Name], n)
		}
	}
	w.serviceSizes[s.Name] = len(vms)
	w.rosters = append(w.rosters, record.NewRoster(s.Name, vms))
}

func (w *simulation) stopNodes() {
	for _, n := range w.nodes {
		n.up = false
		n.incarnation++
	}
}

func (w *simulation) startNodes() {
	for _, n := range w.nodes {
		n.start()
	}
}
