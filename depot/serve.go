package depot

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"

	"cuminhollow.example/landing"
	"golang.org/x/sync/errgroup"
)

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
	c := &copyFetcher{
		source: n.source,
		sink:   n,
		router: n.router,
		peers:  n.peers,
		self:   n.settings.listen.Peers,
		seeds:  n.seeds,
		log:    n.log,
		guard:  n.guard,
	}
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
