package depot

import (
	"context"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// Source tells the node which routes are in force and which VMs there are, in
// place of the records and rosters that nodes exchange.
type Source interface {
	// Follow reports what it learns to the sink until ctx ends.
	Follow(ctx context.Context, s Sink) error
	// Age is the time since the source last had an answer.
	Age() clock.Millis
	// Away reports whether the source gets no answers at present.
	Away() bool
	// Copy returns all that the source knows as text, with a revision that grows
	// with what is known; 0 when it knows nothing.
	Copy() (uint64, []byte)
	// Adopt takes over a copy that the source of another node made, unless it
	// knows as much itself, and reports it to the sink.
	Adopt(s Sink, revision uint64, text []byte) error
}

// Sink takes what a Source learns. It is safe for concurrent use.
type Sink interface {
	// Configure puts a configuration in force unless a newer one is.
	Configure(c *record.Configuration)
	// List replaces the VMs of the services.
	List(rosters []*record.Roster)
}

// Configure implements Sink.
func (n *Node) Configure(c *record.Configuration) {
	for {
		old := n.routes.Load()
		if old != nil && old.Version() >= c.Version() {
			return
		}
		if n.routes.CompareAndSwap(old, c) {
			break
		}
	}
	n.configuredAt.Store(int64(n.clock.Now()))
	n.ready.Store(true)
	n.log.Info().Str("event", "configuration").Uint64("version", c.Version()).Int("routes", c.Routes()).Send()
}

// version returns the version of the routes in force; 0 before the first.
func (n *Node) version() int64 {
	if c := n.routes.Load(); c != nil {
		return int64(c.Version())
	}
	return 0
}

// List implements Sink.
func (n *Node) List(rosters []*record.Roster) {
	var own *record.VM
	sizes := make(map[string]int, len(rosters))
	for _, r := range rosters {
		n.peers.forget(n.router.Update(r))
		if len(r.VMs()) > 0 {
			sizes[r.Service()] = len(r.VMs())
		}
		for _, v := range r.VMs() {
			if v.Upstream() == n.settings.upstream.Address && r.Service() == n.settings.service {
				own = &v
			}
		}
	}
	n.owner.desk.SetSizes(sizes)
	n.owner.repeats.SetSpare(n.settings.retries.spareOf(sizes[n.settings.service]))
	n.follow(own)
}

// follow takes what the list says of the VM's own upstream; nil when it is not
// listed.
func (n *Node) follow(own *record.VM) {
	if own == nil {
		if n.listed.Load() && !n.owner.closed.Swap(true) {
			n.log.Info().Str("event", "upstream-gone").Send()
		}
		return
	}
	n.listed.Store(true)
	if slots := own.Slots(); slots > 0 {
		n.owner.desk.Resize(n.clock.Now(), slots)
	}
	closed := own.State() != record.StateLive
	if n.owner.closed.Swap(closed) != closed {
		n.log.Info().Str("event", "upstream-state").Str("upstream", own.Name()).Str("state", string(own.State())).Send()
	}
}
