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
const settleSpan = 7 * clock.Second

// world is one run of a plan.
type world struct {
	plan   *Plan
	random *rand.Rand
	agenda agenda
	kinds  map[string]*Kind
	// sizes is the number of VMs of each service.
	sizes   map[string]int
	rosters []*record.Roster
	nodes   map[string]*node
	// order holds the nodes in the order in which they were made, and zones those
	// of each zone.
	order  []*node
	zones  map[string][]*node
	result *Result
	desk   []booking.Option
}

// Run plays a plan and returns what clients got. Options change the desks.
func Run(p *Plan, opts ...booking.Option) *Result {
	w := &world{
		plan:   p,
		random: rand.New(rand.NewPCG(p.Seed, p.Seed)),
		kinds:  make(map[string]*Kind),
		sizes:  make(map[string]int),
		nodes:  make(map[string]*node),
		zones:  make(map[string][]*node),
		result: newResult(p),
		desk:   opts,
	}
	for i := range p.Kinds {
		w.kinds[p.Kinds[i].Name] = &p.Kinds[i]
	}
	for i := range p.Services {
		w.build(&p.Services[i])
	}
	for _, n := range w.order {
		n.start()
	}
	for _, t := range p.Troubles {
		if r, ok := t.(Restart); ok {
			w.agenda.after(float64(r.From), w.stop)
			w.agenda.after(float64(r.To), w.restart)
		}
	}
	for i := range p.Kinds {
		for _, z := range p.Zones {
			w.arrive(&client{world: w, kind: &p.Kinds[i], zone: z})
		}
	}
	w.agenda.run(fromMillis(float64(p.Length + settleSpan)))
	return w.result
}

// build makes the VMs of a service.
func (w *world) build(s *Service) {
	var vms []record.VM
	for range s.VMs {
		for _, z := range w.plan.Zones {
			number := len(vms)
			v := record.NewVM(fmt.Sprintf("%s-%d", s.Name, number), z.Region, z.Name, "h:1", record.StateLive).
				WithUpstream("h:2", s.Slots)
			vms = append(vms, v)
			speed := 1.0
			if len(s.Speeds) > 0 {
				speed = s.Speeds[number%len(s.Speeds)]
			}
			n := &node{world: w, vm: v, service: s, upstream: &upstream{world: w, service: s, number: number, speed: speed}}
			w.nodes[v.Name()] = n
			w.order = append(w.order, n)
			w.zones[z.Name] = append(w.zones[z.Name], n)
		}
	}
	w.sizes[s.Name] = len(vms)
	w.rosters = append(w.rosters, record.NewRoster(s.Name, vms))
}

func (w *world) stop() {
	for _, n := range w.order {
		n.up = false
		n.life++
	}
}

func (w *world) restart() {
	for _, n := range w.order {
		n.start()
	}
}
