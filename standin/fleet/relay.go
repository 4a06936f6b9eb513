package fleet

import (
	"net"
	"sync"
	"sync/atomic"
)

// relayBuffer is the size of a copy, in bytes.
const relayBufferSize = 32 << 10

// Relay carries the connections to one node and can make them fail.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*relayConn]bool
	// cut refuses new connections as well.
	disabled bool
}

// relayConn is one connection and the one that carries it on.
type relayConn struct {
	in, out net.Conn
	// silent swallows all bytes in both directions.
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

// Silence makes the open connections swallow all bytes from now on; new ones
// work. It returns the number of connections.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.blackholed.Store(true)
	}
	return len(r.conns)
}

// Cut closes all connections and refuses new ones until Heal.
func (r *Relay) Disable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disabled = true
	for c := range r.conns {
		c.close()
	}
}

// Break closes all connections; new ones work.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

// Heal takes new connections again.
func (r *Relay) Enable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disabled = false
}

// Close ends the relay.
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

// copy carries bytes one way. The end of a silent connection is swallowed too.
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
