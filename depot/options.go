package depot

import (
	"time"

	"github.com/rs/zerolog"
)

// Option configures a Node.
type Option func(*Node)

// WithLogger sets the logger; the default discards all events.
func WithLogger(l zerolog.Logger) Option {
	return func(n *Node) { n.log = l }
}

// WithBodyTimeout limits how long reading a whole request may take; the default
// is 30 s.
func WithBodyTimeout(d time.Duration) Option {
	return func(n *Node) { n.bodyTimeout = d }
}

// WithSource sets the source of routes and VMs. By default the node reads
// records and rosters from the platform and from peers.
func WithSource(s Source) Option {
	return func(n *Node) { n.source = s }
}

// WithGauge adds a metric of the embedding program. The value function is
// called at each scrape.
func WithGauge(name, description, unit string, value func() int64) Option {
	return func(n *Node) { n.gauges = append(n.gauges, gauge{name, description, unit, value}) }
}

// WithSeeds sets the peer addresses of the nodes to query while the source is
// unavailable and no VM is known; the default is the seeds of the settings.
func WithSeeds(addresses []string) Option {
	return func(n *Node) { n.seeds = addresses }
}

// WithFrontend sets the handler for the calls of callers and of the VM's own
// upstream; the default is the product's own HTTP interface.
func WithFrontend(frontend func(Dispatcher) Frontend) Option {
	return func(n *Node) { n.frontend = frontend }
}

// WithUpstream sets the client of the VM's own upstream; the default uses the
// product's own HTTP interface.
func WithUpstream(u Upstream) Option {
	return func(n *Node) { n.upstream = u }
}
