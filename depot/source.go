package depot

import (
	"context"
	"math"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
)

// Revisions that are higher than any of the data, so that nodes of earlier builds have none
// for them.
const (
	// AfterVersion requests a copy that holds no data but tells the version of the
	// configuration and what of the platform's data is out of date.
	AfterVersion uint64 = math.MaxUint64
	// AfterConfiguration requests a copy that holds only the configuration.
	AfterConfiguration uint64 = math.MaxUint64 - 1
)

// Source provides the routes and VMs in place of the records and rosters that
// nodes exchange. The node decides when it polls the platform and when it
// receives the data from another node instead. It is safe for concurrent use,
// except for Poll.
type Source interface {
	// Poll queries the platform once and passes updates to the sink. It waits for
	// changes up to wait, in milliseconds, or up to a time of its own choice if
	// wait is 0. It pauses after a failure.
	Poll(ctx context.Context, s Sink, wait clock.Millis)
	// MustPoll reports whether the platform itself must be polled next, because
	// the data may be incomplete or out of date.
	MustPoll() bool
	// Age returns the time since the data was last confirmed, in milliseconds.
	Age() clock.Millis
	// Unavailable reports whether the platform does not answer at present.
	Unavailable() bool
	// Revision returns the revision of the data; 0 before the first data. It decreases
	// only if the platform comes back from an older copy of its data.
	Revision() uint64
	// CopyAfter returns the revision after which data is to be requested from other
	// nodes; 0 requests all data.
	CopyAfter() uint64
	// Updated returns a channel that is closed when the data is next confirmed,
	// which lowers Age.
	Updated() <-chan struct{}
	// Copy returns the data that is newer than a revision.
	Copy(after uint64) Copy
	// Adopt applies a copy from the source of another node and passes updates to
	// the sink. The copy was up to date at asOf on the node's clock; 0 means that
	// it may be out of date. An error means that the copy was rejected. CopyAfter then
	// returns 0 if only all data of the other node would help.
	Adopt(s Sink, c Copy, asOf clock.Millis) error
	// MayBeOld reports whether other nodes may have newer data than the platform, because
	// that has come back from an older copy of its data, or may have
	// before the node started.
	MayBeOld() bool
	// Compare reports whether a copy that was requested after AfterVersion tells of a newer
	// configuration than the source's. It passes to the sink what the copy tells of VMs
	// that left and that the platform lists again.
	Compare(s Sink, c Copy) (outdated bool)
	// AdoptConfiguration takes the configuration of a copy that was requested after
	// AfterConfiguration, if it is newer than the source's, and passes it to the sink.
	AdoptConfiguration(s Sink, c Copy) error
}

// Copy is the data of a Source for another node.
type Copy struct {
	Revision uint64
	// Whole is set if Text holds all data rather than changes only.
	Whole bool
	// Text is the encoded data. It may be empty if there is none beyond the requested
	// revision, and is if that is too large for one message. Adopt tells these apart
	// by Revision.
	Text []byte
}

// Sink receives the updates of a Source. It is safe for concurrent use.
type Sink interface {
	// SetConfiguration makes a configuration the current one unless the version of
	// the current one is the same or newer.
	SetConfiguration(c *record.Configuration)
	// SetRosters replaces the VMs of the services that the rosters name.
	SetRosters(rosters []*record.Roster)
}

// SetConfiguration implements Sink.
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

// configurationVersion returns the version of the current routes; 0 before the
// first.
func (n *Node) configurationVersion() int64 {
	if c := n.routes.Load(); c != nil {
		return int64(c.Version())
	}
	return 0
}

// SetRosters implements Sink.
func (n *Node) SetRosters(rosters []*record.Roster) {
	var own *record.VM
	var watchers []registry.Member
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
			if v.Region() == n.settings.locality.Region && v.State() == record.StateLive {
				watchers = append(watchers, registry.Member{VM: v.Name(), Address: v.Address(), Zone: v.Zone()})
			}
		}
	}
	n.watchers.Update(watchers)
	n.owner.controller.SetServiceSizes(sizes)
	n.owner.retryLimiter.SetBase(n.settings.retries.basePerVM(sizes[n.settings.service]))
	n.updateUpstream(own)
}

// updateUpstream applies the roster entry of the VM's own upstream; nil if it
// is not listed.
func (n *Node) updateUpstream(own *record.VM) {
	if own == nil {
		if n.upstreamListed.Load() && n.owner.controller.Close() {
			n.log.Info().Str("event", "upstream-gone").Send()
		}
		return
	}
	n.upstreamListed.Store(true)
	if slots := own.Slots(); slots > 0 {
		n.owner.controller.Resize(n.clock.Now(), slots)
	}
	changed := false
	if own.State() == record.StateLive {
		changed = n.owner.controller.Open()
	} else {
		changed = n.owner.controller.Close()
	}
	if changed {
		n.log.Info().Str("event", "upstream-state").Str("upstream", own.Name()).Str("state", string(own.State())).Send()
	}
}
