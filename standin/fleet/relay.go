package fleet

import (
	"net"
	"sync"
	"sync/atomic"
)

// relayBufferSize is the size of a copy buffer, in bytes.
const relayBufferSize = 32 << 10

// Relay is a TCP proxy in front of one node that injects connection faults. It is
// safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*relayConn]bool
	// disabled makes the relay close new connections.
	disabled bool
}

// relayConn is a client connection and the connection to the node that it is
// forwarded to.
type relayConn struct {
	in, out net.Conn
	// blackholed makes the relay discard all bytes in both directions.
	blackholed atomic.Bool
	once       sync.Once
}

func newRelay(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, conns: make(map[*relayConn]bool)}
	go r.accept()
	return r, nil
}

// Address returns the address of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Blackhole makes the relay discard all further bytes on the open connections
// without closing them. New connections work. It returns the number of open
// connections.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.blackholed.Store(true)
	}
	return len(r.conns)
}

// Disable closes all connections, and closes new ones at once until Enable.
func (r *Relay) Disable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disabled = true
	for c := range r.conns {
		c.close()
	}
}

// CloseConnections closes the open connections. New connections work.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Enable forwards new connections again after Disable.
func (r *Relay) Enable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disabled = false
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Disable()
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

func (r *Relay) forward(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &relayConn{in: in, out: out}
	if !r.add(c) {
		c.close()
		return
	}
	defer r.remove(c)
	go c.copy(in, out)
	c.copy(out, in)
}

func (r *Relay) add(c *relayConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disabled {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) remove(c *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// copy forwards bytes in one direction. When either side fails or is closed, it
// closes both connections, even if they are blackholed.
func (c *relayConn) copy(from, to net.Conn) {
	buf := make([]byte, relayBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.blackholed.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

func (c *relayConn) close() {
	c.once.Do(func() {
		_ = c.in.Close()
		_ = c.out.Close()
	})
}
