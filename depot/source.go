package depot

import (
	"context"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
)

// Source tells the node which routes are in force and which VMs there are, in
// place of the records and rosters that nodes exchange. The node decides when it
// asks the platform and when it hears from another node that does. It is safe for
// concurrent use, but for Ask.
type Source interface {
	// Ask asks the platform once and reports what is new to the sink. It waits for
	// changes up to a span, in milliseconds, or one of its own choice where that is
	// 0; after a failure it pauses.
	Poll(ctx context.Context, s Sink, wait clock.Millis)
	// Unsure reports whether the platform itself has to be asked next.
	MustPoll() bool
	// Age is the age of what the source knows, in milliseconds.
	Age() clock.Millis
	// Away reports whether the source gets no answers at present.
	Unavailable() bool
	// Revision grows with what the source knows; 0 when it knows nothing.
	Revision() uint64
	// News returns a channel that is closed when Age falls next.
	Updated() <-chan struct{}
	// Copy returns what the source knows beyond a revision.
	Copy(after uint64) Copy
	// Adopt takes over what the source of another node knows and reports it to the
	// sink. The copy is known to be right as of a time on the node's clock; 0 when
	// it may be old.
	Adopt(s Sink, c Copy, asOf clock.Millis) error
}

// Copy is what a Source knows.
type Copy struct {
	Revision uint64
	// Whole tells that Text holds all that is known rather than what changed.
	Whole bool
	// Text is empty when nothing is known beyond the revision asked for.
	Text []byte
}

// Sink takes what a Source learns. It is safe for concurrent use.
type Sink interface {
	// Configure puts a configuration in force unless a newer one is.
	SetConfiguration(c *record.Configuration)
	// List replaces the VMs of the services.
	SetRosters(rosters []*record.Roster)
}

// Configure implements Sink.
func (n *Node) SetConfiguration(c *record.Configuration) {
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
func (n *Node) configurationVersion() int64 {
	if c := n.routes.Load(); c != nil {
		return int64(c.Version())
	}
	return 0
}

// List implements Sink.
func (n *Node) SetRosters(rosters []*record.Roster) {
	var own *record.VM
	var readers []registry.Member
	sizes := make(map[string]int, len(rosters))
	for _, r := range rosters {
		n.peers.remove(n.router.Update(r))
		if len(r.VMs()) > 0 {
			sizes[r.Service()] = len(r.VMs())
		}
		for _, v := range r.VMs() {
			if v.Upstream() == n.settings.upstream.Address && r.Service() == n.settings.service {
				own = &v
			}
			if v.Region() == n.settings.place.Region && v.State() == record.StateLive {
				readers = append(readers, registry.Member{VM: v.Name(), Address: v.Address(), Zone: v.Zone()})
			}
		}
	}
	n.watchers.Update(readers)
	n.owner.controller.SetServiceSizes(sizes)
	n.owner.retryLimiter.SetBase(n.settings.retries.allowancePerVM(sizes[n.settings.service]))
	n.updateUpstream(own)
}

// follow takes what the list says of the VM's own upstream; nil when it is not
// listed.
func (n *Node) updateUpstream(own *record.VM) {
	if own == nil {
		if n.upstreamListed.Load() && !n.owner.upstreamClosed.Swap(true) {
			n.log.Info().Str("event", "upstream-gone").Send()
		}
		return
	}
	n.upstreamListed.Store(true)
	if slots := own.Slots(); slots > 0 {
		n.owner.controller.Resize(n.clock.Now(), slots)
	}
	closed := own.State() != record.StateLive
	if n.owner.upstreamClosed.Swap(closed) != closed {
		n.log.Info().Str("event", "upstream-state").Str("upstream", own.Name()).Str("state", string(own.State())).Send()
	}
}
