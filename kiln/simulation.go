package kiln

import (
	"fmt"
	"math/rand/v2"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// drainTime is how long the simulation continues after the clients stop sending
// requests, in milliseconds, so that the calls in flight can end.
const drainTime = 7 * clock.Second

// simulation is one run of a plan.
type simulation struct {
	plan      *Plan
	random    *rand.Rand
	scheduler scheduler
	kinds     map[string]*Kind
	// serviceSizes holds the number of VMs of each service.
	serviceSizes map[string]int
	rosters      []*record.Roster
	nodesByName  map[string]*node
	// nodes holds the nodes in the order of their creation, and nodesByZone
	// those of each zone.
	nodes             []*node
	nodesByZone       map[string][]*node
	result            *Result
	controllerOptions []booking.Option
}

// Run simulates a plan and returns the results of the client requests. The
// options are applied to the controllers of all nodes.
func Run(p *Plan, opts ...booking.Option) *Result {
	sim := &simulation{
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
		sim.kinds[p.Kinds[i].Name] = &p.Kinds[i]
	}
	for i := range p.Services {
		sim.addService(&p.Services[i])
	}
	for _, n := range sim.nodes {
		n.start()
	}
	for _, d := range p.Disturbances {
		if r, ok := d.(Restart); ok {
			sim.scheduler.after(float64(r.From), sim.stopNodes)
			sim.scheduler.after(float64(r.To), sim.startNodes)
		}
	}
	for i := range p.Kinds {
		for _, z := range p.Zones {
			sim.scheduleArrival(&client{sim: sim, kind: &p.Kinds[i], zone: z})
		}
	}
	sim.scheduler.run(fromMillis(float64(p.Length + drainTime)))
	return sim.result
}

// addService creates the VMs and the roster of a service.
func (sm *simulation) addService(s *Service) {
	var vms []record.VM
	for round := range s.VMsPerZone + 1 {
		zones := sm.plan.Zones
		if round == s.VMsPerZone {
			zones = zones[:s.ExtraVMs]
		}
		for _, z := range zones {
			index := len(vms)
			v := record.NewVM(fmt.Sprintf("%s-%d", s.Name, index), z.Region, z.Name, "h:1", record.StateLive).
				WithUpstream("h:2", s.Slots)
			vms = append(vms, v)
			speed := 1.0
			if len(s.Speeds) > 0 {
				speed = s.Speeds[index%len(s.Speeds)]
			}
			n := &node{sim: sm, vm: v, service: s, upstream: &upstream{sim: sm, service: s, index: index, speed: speed}}
			sm.nodesByName[v.Name()] = n
			sm.nodes = append(sm.nodes, n)
			sm.nodesByZone[z.Name] = append(sm.nodesByZone[z.Name], n)
		}
	}
	sm.serviceSizes[s.Name] = len(vms)
	sm.rosters = append(sm.rosters, record.NewRoster(s.Name, vms))
}

func (sm *simulation) stopNodes() {
	for _, n := range sm.nodes {
		n.up = false
		n.incarnation++
	}
}

func (sm *simulation) startNodes() {
	for _, n := range sm.nodes {
		n.start()
	}
}
