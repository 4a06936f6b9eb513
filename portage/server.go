package portage

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultMaxConns is the default of WithMaxConns.
	defaultMaxConns = 4096
	// maxStreams is the maximum number of requests in progress on a connection.
	maxStreams = 4096
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
	// shutdownPollInterval is the interval at which Shutdown checks for remaining
	// requests and connections.
	shutdownPollInterval = 5 * time.Millisecond
)

// Peer is the process at the other end of a connection.
type Peer struct {
	// VM and Incarnation are those that the process sent in Hello.
	VM          string
	Incarnation uint64
}

// Handler handles the messages of peers. Its methods are called concurrently.
type Handler interface {
	// Greet returns the answer to the Hello of a new connection.
	Greet(Peer) Welcome
	// Handle returns the response to a request; nil sends none. The context ends
	// when the peer cancels the request, with the cause ErrCancelled, or when the
	// connection is lost.
	Handle(context.Context, Peer, Request) Response
	// Notice handles a message that has no response.
	Notice(Peer, Notice)
}

// Server accepts connections of peers. Create it with NewServer.
type Server struct {
	handler  Handler
	settings settings
	mu       sync.Mutex
	conns    map[*conn]bool
	closed   bool
	// inFlight is the number of requests that are not answered yet.
	inFlight atomic.Int64
}

// NewServer returns a server that passes messages to h.
func NewServer(h Handler, opts ...Option) *Server {
	return &Server{handler: h, settings: newSettings(opts), conns: make(map[*conn]bool)}
}

// Serve accepts connections until the listener is closed, then returns nil.
// Errors of Accept are retried.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if err != nil {
			if s.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveConn(raw)
	}
}

// Broadcast sends n on every open connection whose send queue is not full.
func (s *Server) Broadcast(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.trySend(n)
	}
}

// Close closes all connections and rejects new ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.close()
	}
}

// Shutdown waits until every request is answered and every answer has been read
// by its peer, then closes all connections. When ctx ends first, it closes the
// connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	if err := s.waitUntil(ctx, func() bool { return s.inFlight.Load() == 0 }); err != nil {
		return err
	}
	s.mu.Lock()
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	return s.waitUntil(ctx, func() bool { return s.connections() == 0 })
}

// waitUntil polls until done returns true or ctx ends.
func (s *Server) waitUntil(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.settings.maxConns {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) serveConn(raw net.Conn) {
	_ = raw.SetReadDeadline(time.Now().Add(s.settings.dialTimeout))
	c := newConn(s.settings.wrapServer(raw), s.settings.traffic)
	c.reportsProgress = true
	defer c.close()
	defer s.settings.recoverPanic("inbound connection", c.close)
	if !s.add(c) {
		return
	}
	defer s.remove(c)
	peer, err := s.handshake(c)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := &inbound{
		server:  s,
		conn:    c,
		peer:    peer,
		ctx:     ctx,
		cancels: make(map[uint64]context.CancelCauseFunc),
	}
	in.readLoop(raw)
}

func (s *Server) handshake(c *conn) (Peer, error) {
	m, err := c.receive()
	if err != nil {
		return Peer{}, err
	}
	hello, ok := m.(*Hello)
	if !ok || hello.Version != ProtocolVersion {
		return Peer{}, &Error{Op: "handshake", Kind: KindFrame}
	}
	peer := Peer{VM: hello.VM, Incarnation: hello.Incarnation}
	welcome := s.handler.Greet(peer)
	welcome.Version = ProtocolVersion
	_, err = c.send(context.Background(), &welcome)
	return peer, err
}
