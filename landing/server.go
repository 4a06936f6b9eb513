package landing

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a failed accept, and between two looks for
// an idle connection while there are too many.
const acceptRetryDelay = 10 * time.Millisecond

// Server takes the requests of callers and passes them to a handler. The handler
// is called concurrently; what it writes is held until it returns. Create it with
// NewServer.
type Server struct {
	handler  http.Handler
	settings settings

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]bool
	// stopping is set by Shutdown and Close.
	stopping bool
	// ended is signalled when a connection ends.
	ended chan struct{}
}

// NewServer returns a server that passes requests to h.
func NewServer(h http.Handler, opts ...Option) *Server {
	return &Server{handler: h, settings: newSettings(opts), conns: make(map[*conn]bool), ended: make(chan struct{}, 1)}
}

// Serve accepts connections until Shutdown or Close is called or the listener is
// closed, then returns nil. Other errors of Accept are retried.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return nil
	}
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			s.serveConn(raw)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		_ = l.Close()
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

// serveConn serves a new connection in a goroutine of its own, once there is room
// for it.
func (s *Server) serveConn(raw net.Conn) {
	c := newConn(s, raw)
	for !s.add(c) {
		if s.isStopping() {
			_ = raw.Close()
			return
		}
		s.closeIdle()
		time.Sleep(acceptRetryDelay)
	}
	go c.serve()
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.conns) >= s.settings.maxConns {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	select {
	case s.ended <- struct{}{}:
	default:
	}
}

// closeIdle closes the connection that has been idle for the longest time.
func (s *Server) closeIdle() {
	var longest *conn
	var since time.Time
	for _, c := range s.openConns() {
		if at, idle := c.idle(); idle && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	if longest != nil {
		longest.stop()
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Shutdown closes the listeners and the idle connections, and waits until every
// request that has begun to arrive is answered. When ctx ends first, it closes all
// connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopListening()
	for _, c := range s.openConns() {
		c.stop()
	}
	for len(s.openConns()) > 0 {
		select {
		case <-s.ended:
		case <-ctx.Done():
			s.Close()
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the listeners and all connections.
func (s *Server) Close() {
	s.stopListening()
	for _, c := range s.openConns() {
		c.abort()
	}
}

func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
}
