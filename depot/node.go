package depot

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cuminhollow.example/booking"
	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// defaultBodyTimeout is the default of WithBodyTimeout.
	defaultBodyTimeout = 30 * time.Second
	// idleTimeout bounds a caller's connection between two requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// stopPoll is how often a planned stop looks whether work is done.
	stopPollInterval = 5 * time.Millisecond
	// quietSpan is how long a leaving node must be without work before it
	// closes its ports, so that calls already under way still arrive.
	idleSpan = 250 * time.Millisecond
)

// Node is one node. Create it with New and run it once with Run.
type Node struct {
	settings *Settings
	clock    clock.Clock
	log      zerolog.Logger
	metrics  *metrics
	store    *record.Store
	// decisions logs what is decided about requests.
	decisions  *decisionLog
	router     *dispatch.Router
	peers      *peers
	owner      *owner
	entry      *entry
	replicator *replicator
	server     *portage.Server
	// readers tells from whom the node hears what its source would tell.
	watchers   *registry.Watchers
	copyServer *copyServer
	ready      atomic.Bool
	// routes is the configuration in force; nil before the first one, and
	// without a Source.
	routes atomic.Pointer[record.Configuration]
	// configuredAt is when the configuration in force was taken, on the clock.
	configuredAt atomic.Int64
	// gauges are values of the program's own.
	gauges []gauge
	// stopping is set from the beginning of a planned stop.
	stopping atomic.Bool
	// closed is set when a planned stop takes no calls any more.
	closed atomic.Bool
	// listed is set once the VM's own upstream was in a list.
	upstreamListed atomic.Bool
	source         Source
	// seeds are the addresses of nodes that a node without any list asks.
	seeds    []string
	frontend func(Dispatcher) http.Handler
	reload   func(*Settings)
	// upstream runs calls on the VM's own upstream.
	upstream Upstream
	linkOpts []portage.Option
	traffic  portage.Traffic
	// bodyTimeout bounds the reading of a whole request.
	bodyTimeout time.Duration
	// incarnation is drawn anew by each process.
	incarnation uint64
}

// Option changes a Node.
type Option func(*Node)

// WithLogger sets the log; the default discards it.
func WithLogger(log zerolog.Logger) Option {
	return func(n *Node) { n.log = log }
}

// WithBodyTimeout bounds the reading of a whole request; the default is 30 s.
func WithBodyTimeout(d time.Duration) Option {
	return func(n *Node) { n.bodyTimeout = d }
}

// WithSource makes the node follow a source of routes and VMs; the default is
// to read records and rosters from the platform and from peers.
func WithSource(s Source) Option {
	return func(n *Node) { n.source = s }
}

// WithGauge adds a metric of the program's own: a value that is asked for at
// each scrape.
func WithGauge(name, description, unit string, value func() int64) Option {
	return func(n *Node) { n.gauges = append(n.gauges, gauge{name, description, unit, value}) }
}

// WithSeeds sets the peer addresses of nodes that a node asks when its source
// gets no answers and it knows no VM; the default is the seeds of the settings.
func WithSeeds(addresses []string) Option {
	return func(n *Node) { n.seeds = addresses }
}

// WithFront sets what takes the calls of callers and of the VM's own upstream;
// the default is the product's own HTTP interface.
func WithFrontend(front func(Dispatcher) http.Handler) Option {
	return func(n *Node) { n.frontend = front }
}

// WithUpstream sets what runs calls on the VM's own upstream; the default
// speaks the product's own HTTP interface.
func WithUpstream(u Upstream) Option {
	return func(n *Node) { n.upstream = u }
}

// New builds a node. It opens no sockets yet.
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
	n.store = record.NewStore(n.clock)
	n.router = dispatch.NewRouter(s.vm, s.place)
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
	}
	n.replicator = &replicator{
		self:     s.vm,
		service:  s.service,
		zone:     s.place.Zone,
		clock:    n.clock,
		store:    n.store,
		router:   n.router,
		peers:    n.peers,
		platform: newPlatformClient(s.platform),
		schedule: registry.NewSchedule(rand.Float64),
		log:      n.log,
		seeds:    n.seeds,
		pending:  make(chan *record.Document, pendingQueueSize),
	}
	n.replicator.fleet.Store(registry.NewFleet(s.vm, s.place.Zone, n.store.Snapshot()))
	n.watchers = registry.NewWatchers(s.listen.Peers, s.place.Region)
	n.copyServer = &copyServer{source: n.source, clock: n.clock, stopping: make(chan struct{})}
	n.server = portage.NewServer(n, n.linkOpts...)
}

// newDesk returns the admission desk of the VM's own upstream.
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

// Run serves until ctx ends, then stops gracefully: it takes no new work,
// finishes what is in flight, and returns nil. It returns an *Error when a port
// cannot be opened.
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
	var callers []*http.Server
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

// serveRecords serves the product's own HTTP interface by the records and
// rosters that nodes exchange.
func (n *Node) serveRecords(start, ctx context.Context, g *errgroup.Group, l *listeners) []*http.Server {
	n.replicator.bootstrap(start)
	mux := http.NewServeMux()
	mux.HandleFunc(TicketPath, n.entry.serveTickets)
	mux.Handle("/", n.entry.callerHandler())
	callers := n.serveHTTP(g, l.callers, mux)
	onward := n.serveHTTP(g, l.upstream, n.entry.nestedHandler())
	g.Go(func() error { return n.replicator.run(ctx) })
	n.ready.Store(true)
	n.log.Info().Str("event", "ready").Str("vm", n.settings.vm).Send()
	return []*http.Server{callers, onward}
}

// serveSource serves an adapter's interface by what its source tells.
func (n *Node) serveSource(ctx context.Context, g *errgroup.Group, l *listeners) []*http.Server {
	f := &follower{
		source:     n.source,
		sink:       n,
		clock:      n.clock,
		watchers:   n.watchers,
		peers:      n.peers,
		copyServer: n.copyServer,
		log:        n.log,
	}
	g.Go(func() error { return f.run(ctx) })
	b := &copyFetcher{source: n.source, sink: n, router: n.router, peers: n.peers, seeds: n.seeds, log: n.log}
	g.Go(func() error { return b.run(ctx) })
	servers := []*http.Server{n.serveHTTP(g, l.callers, n.frontend(n))}
	if l.ready != nil {
		servers = append(servers, n.serveHTTP(g, l.ready, http.HandlerFunc(n.serveReady)))
	}
	return servers
}

func (n *Node) serveHTTP(g *errgroup.Group, l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
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
