package depot

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"cuminhollow.example/booking"
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/landing"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
	"github.com/rs/zerolog"
)

const (
	// headerTimeout limits how long reading a request's header may take.
	headerTimeout = 5 * time.Second
	// defaultBodyTimeout is the default of WithBodyTimeout.
	defaultBodyTimeout = 30 * time.Second
	// idleTimeout limits how long a caller's connection stays open between two
	// requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
	// stopPollInterval is how often a planned stop checks whether calls are still
	// in progress.
	stopPollInterval = 5 * time.Millisecond
	// idleSpan is how long a leaving node must have no calls in progress before
	// it closes its ports, so that calls already on the network still arrive.
	idleSpan = 250 * time.Millisecond
)

// Node runs beside one upstream: it sends calls to the nodes of other VMs and
// runs the calls that it receives from them on its upstream. Create it with New
// and call Run once.
type Node struct {
	settings *Settings
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metrics
	guard    *guard
	store    *record.Store
	// decisions logs what happens to each request and why.
	decisions  *decisionLog
	router     *dispatch.Router
	peers      *peers
	owner      *owner
	entry      *entry
	replicator *replicator
	server     *portage.Server
	// watchers selects the node from which this one receives updates instead of
	// polling the platform itself.
	watchers   *registry.Watchers
	copyServer *copyServer
	ready      atomic.Bool
	// routes is the current configuration; nil before the first one and when the
	// node has no Source.
	routes atomic.Pointer[record.Configuration]
	// configuredAt is when the current configuration was set, in milliseconds of
	// clock.
	configuredAt atomic.Int64
	// gauges are the metrics added by WithGauge.
	gauges []gauge
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	// closed is set once a planned stop accepts no more calls.
	closed atomic.Bool
	// upstreamListed is set once a roster has contained the VM's own upstream.
	upstreamListed atomic.Bool
	source         Source
	// seeds are the addresses of nodes to query while no VM is known.
	seeds    []string
	frontend func(Dispatcher) Frontend
	reload   func(*Settings)
	// upstream runs calls on the VM's own upstream.
	upstream Upstream
	linkOpts []portage.Option
	traffic  portage.Traffic
	// bodyTimeout limits how long reading a whole request may take.
	bodyTimeout time.Duration
	// bodyMemory is the memory for the bodies of calls in flight, as their entry
	// and as their owner.
	bodyMemory *ledger.Bytes
	// incarnation is a random number that identifies this process.
	incarnation uint64
}

// Frontend handles the requests of callers and of the VM's own upstream.
type Frontend interface {
	http.Handler
	// Concurrent reports whether a request may run while earlier ones on its
	// connection are unanswered; see landing.WithConcurrent.
	Concurrent(*http.Request) bool
	// Limits returns the present limits on callers.
	Limits() landing.Limits
}

// New builds a node. It returns an *Error if the metrics or the TLS keys cannot
// be set up. It opens no sockets; Run does.
func New(s *Settings, opts ...Option) (*Node, error) {
	n := &Node{
		settings:    s,
		clock:       clock.NewSystem(),
		log:         zerolog.Nop(),
		bodyTimeout: defaultBodyTimeout,
		incarnation: newIncarnation(),
		seeds:       s.seeds,
	}
	for _, o := range opts {
		o(n)
	}
	m, err := newMetrics()
	if err != nil {
		return nil, &Error{Op: "set up metrics", Kind: KindSettings, Err: err}
	}
	n.metrics = m
	if n.upstream == nil {
		n.upstream = newHTTPUpstream(s.upstream)
	}
	n.linkOpts = append(n.linkOpts, portage.WithTraffic(&n.traffic))
	if err := n.configureTLS(); err != nil {
		return nil, err
	}
	n.build()
	if err := m.registerGauges(n); err != nil {
		return nil, &Error{Op: "set up metrics", Kind: KindSettings, Err: err}
	}
	return n, nil
}

func newIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

func (n *Node) build() {
	s := n.settings
	runs := new(runTable)
	n.decisions = &decisionLog{log: n.log}
	n.bodyMemory = ledger.NewBytes(s.vmLimits.bodyMemory())
	n.guard = &guard{log: n.log, metrics: n.metrics}
	n.linkOpts = append(n.linkOpts, portage.WithOnPanic(n.guard.recovered))
	n.store = record.NewStore(n.clock)
	n.router = dispatch.NewRouter(s.vm, s.locality)
	hello := portage.Hello{VM: s.vm, Incarnation: n.incarnation}
	n.peers = newPeers(n.clock, hello, n.router, n.linkOpts)
	n.owner = &owner{
		decisions:    n.decisions,
		clock:        n.clock,
		completions:  claim.NewTable(s.vm, n.incarnation, n.clock, answerSize),
		controller:   n.newController(),
		upstream:     n.upstream,
		runs:         runs,
		metrics:      n.metrics,
		retryLimiter: s.retries.newLimiter(),
		memory:       n.bodyMemory,
		answerMemory: ledger.NewBytes(s.vmLimits.answerMemory()),
		ready:        &n.ready,
	}
	stop := newEntryStop()
	n.entry = &entry{
		clock: n.clock,
		store: n.store,
		stop:  stop,
		sender: &sender{
			stop:          stop,
			runs:          runs,
			decisions:     n.decisions,
			clock:         n.clock,
			router:        n.router,
			peers:         n.peers,
			metrics:       n.metrics,
			perHopRetries: s.policy.perHopRetries(),
			rejectEarly:   s.policy.rejectEarly(),
			controller:    n.owner.controller,
			answerGrace:   s.adapter.AnswerGrace,
		},
		runs:           runs,
		metrics:        n.metrics,
		routes:         s.routes,
		service:        s.service,
		identitySource: s.callers.Identity,
		bodies:         NewBodyReader(n.bodyMemory),
	}
	n.replicator = &replicator{
		self:     s.vm,
		service:  s.service,
		zone:     s.locality.Zone,
		clock:    n.clock,
		store:    n.store,
		router:   n.router,
		peers:    n.peers,
		platform: newPlatformClient(s.platform),
		schedule: registry.NewSchedule(rand.Float64),
		log:      n.log,
		guard:    n.guard,
		seeds:    n.seeds,
		pending:  make(chan *record.Document, pendingQueueSize),
	}
	n.replicator.fleet.Store(registry.NewFleet(s.vm, s.locality.Zone, n.store.Snapshot()))
	n.watchers = registry.NewWatchers(s.listen.Peers, s.locality.Region)
	n.copyServer = &copyServer{source: n.source, clock: n.clock, stopping: make(chan struct{})}
	n.server = portage.NewServer(n, n.linkOpts...)
}

// newController returns the admission controller of the VM's own upstream.
func (n *Node) newController() *booking.Controller {
	u := n.settings.upstream
	opts := append(n.settings.policy.controllerOptions(), booking.WithHeadroom(float64(u.Headroom)/100))
	if n.source != nil {
		opts = append(opts, booking.WithNestedDetection())
	}
	if !n.settings.policy.rejectEarly() {
		opts = append(opts, booking.WithoutQuotas())
	}
	return booking.NewController(u.Slots, opts...)
}

// Greet implements portage.Handler.
func (n *Node) Greet(p portage.Peer) portage.Welcome {
	return portage.Welcome{
		VM:          n.settings.vm,
		Incarnation: n.incarnation,
		Session:     n.owner.completions.OpenSession(p.VM, p.Incarnation),
		Leaving:     n.owner.leaving.Load(),
	}
}

// Handle implements portage.Handler.
func (n *Node) Handle(ctx context.Context, _ portage.Peer, q portage.Request) portage.Response {
	var r portage.Response
	if n.guard.run("request", func() { r = n.response(ctx, q) }) {
		return r
	}
	// The work of the request may have run.
	switch q := q.(type) {
	case *portage.Call:
		return n.owner.completeAnswer(q, unknownAnswer(reasonPanic))
	case *portage.Query:
		return n.owner.completeAnswer(&portage.Call{}, unknownAnswer(reasonPanic))
	default:
		return nil
	}
}

// response returns the response to a request of a peer.
func (n *Node) response(ctx context.Context, q portage.Request) portage.Response {
	switch q := q.(type) {
	case *portage.Call:
		return n.owner.handleCall(ctx, q)
	case *portage.Query:
		return n.owner.completeAnswer(&portage.Call{}, n.owner.handleQuery(ctx, q))
	case *portage.Exchange:
		return n.replicator.handleExchange(q)
	case *portage.Fetch:
		return n.replicator.handleFetch(q)
	case *portage.CopyRequest:
		return n.copyServer.handleCopy(ctx, q)
	default:
		return nil
	}
}

// Notice implements portage.Handler.
func (n *Node) Notice(p portage.Peer, m portage.Notice) {
	switch m := m.(type) {
	case *portage.Leaving:
		n.peers.handleNotice(m)
	case *portage.Push:
		n.replicator.mergeFromPeer(p.VM, m.Documents)
	}
}
