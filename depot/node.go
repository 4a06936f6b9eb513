package depot

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"log"
	"math/rand/v2"
	"net"
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
	"golang.org/x/sync/errgroup"
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

// Frontend handles the requests of callers and of the VM's own upstream.
type Frontend interface {
	http.Handler
	// Concurrent reports whether a request may run while earlier ones on its
	// connection are unanswered; see landing.WithConcurrent.
	Concurrent(*http.Request) bool
	// Limits returns the present limits on callers.
	Limits() landing.Limits
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
	}
	n.entry = &entry{
		clock: n.clock,
		store: n.store,
		sender: &sender{
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

// Run serves until ctx ends, then stops gracefully: it rejects new calls,
// finishes the calls in progress and returns nil. It returns an *Error if a
// port cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen(ctx)
	if err != nil {
		return err
	}
	defer listeners.close()
	work, stopWork := context.WithCancelCause(context.Background())
	defer stopWork(errShutdown)
	g, gctx := errgroup.WithContext(work)
	g.Go(func() error { return n.server.Serve(listeners.peers) })
	operators := n.serveHTTP(g, listeners.operators, n.operatorHandler())
	var callers []*landing.Server
	if n.source != nil {
		callers = n.serveSource(gctx, g, listeners)
	} else {
		callers = n.serveRecords(ctx, gctx, g, listeners)
	}
	select {
	case <-ctx.Done():
	case <-gctx.Done():
	}
	n.stop(listeners.peers, callers)
	_ = operators.Close()
	stopWork(errShutdown)
	err = g.Wait()
	n.log.Info().Str("event", "stopped").Str("vm", n.settings.vm).Send()
	return err
}

// serveRecords serves the product's own HTTP interface, configured by the
// records and rosters that nodes exchange. The bootstrap ends early with
// bootstrapCtx, and the replication ends with ctx.
func (n *Node) serveRecords(bootstrapCtx, ctx context.Context, g *errgroup.Group, l *listeners) []*landing.Server {
	n.replicator.bootstrap(bootstrapCtx)
	mux := http.NewServeMux()
	mux.HandleFunc(TicketPath, n.entry.serveTickets)
	mux.Handle("/", n.entry.callerHandler())
	opts := []landing.Option{landing.WithLimits(n.callerLimits), landing.WithConcurrent(n.entry.concurrent)}
	callers := n.serveCallers(g, l.callers, mux, opts...)
	nested := n.serveCallers(g, l.upstream, n.entry.nestedHandler(), opts...)
	g.Go(func() error { return n.replicator.run(ctx) })
	n.ready.Store(true)
	n.log.Info().Str("event", "ready").Str("vm", n.settings.vm).Send()
	return []*landing.Server{callers, nested}
}

// serveSource serves the HTTP interface of an adapter, configured by its
// source.
func (n *Node) serveSource(ctx context.Context, g *errgroup.Group, l *listeners) []*landing.Server {
	follow := &follower{
		source:     n.source,
		sink:       n,
		clock:      n.clock,
		watchers:   n.watchers,
		peers:      n.peers,
		copyServer: n.copyServer,
		log:        n.log,
		guard:      n.guard,
	}
	g.Go(func() error { return follow.run(ctx) })
	c := &copyFetcher{source: n.source, sink: n, router: n.router, peers: n.peers, seeds: n.seeds, log: n.log, guard: n.guard}
	g.Go(func() error { return c.run(ctx) })
	f := n.frontend(n)
	servers := []*landing.Server{n.serveCallers(g, l.callers, f, landing.WithLimits(f.Limits), landing.WithConcurrent(f.Concurrent))}
	if l.ready != nil {
		servers = append(servers, n.serveCallers(g, l.ready, http.HandlerFunc(n.serveReady)))
	}
	return servers
}

// callerLimits returns the limits on the callers of the product's own interface.
func (n *Node) callerLimits() landing.Limits {
	limits := landing.DefaultLimits()
	limits.BodyTime = n.bodyTimeout
	return limits
}

// serveCallers serves callers until the server is shut down.
func (n *Node) serveCallers(g *errgroup.Group, l net.Listener, h http.Handler, opts ...landing.Option) *landing.Server {
	if most := n.settings.vmLimits.maxCallerConns(); most > 0 {
		opts = append(opts, landing.WithMaxConns(most))
	}
	s := landing.NewServer(n.guard.handler(h), opts...)
	g.Go(func() error { return s.Serve(l) })
	return s
}

func (n *Node) serveHTTP(g *errgroup.Group, l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           n.guard.handler(h),
		ErrorLog:          log.New(n.log.With().Str("event", "http-server").Logger(), "", 0),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       n.bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return &Error{Op: "serve", Kind: KindListen, Err: err}
		}
		return nil
	})
	return s
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
