package main

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
)

// lateListener accepts connections on which a share of the responses is sent a second
// time, late: when the next request on the connection arrives.
type lateListener struct {
	net.Listener
	// share returns the share of the responses, from 0 to 1.
	share func() float64
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: conn, share: l.share}, nil
}

// runField marks a response to a call, as opposed to one of the test's own requests.
var runField = []byte(headerRun + ": ")

// lateConn is a connection of a lateListener.
type lateConn struct {
	net.Conn
	share func() float64

	mu sync.Mutex
	// sent holds what was sent since the last request.
	sent []byte
}

// Write implements net.Conn.
func (c *lateConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, b...)
	return c.Conn.Write(b)
}

// Read implements net.Conn. The first bytes of a request are returned after the copy
// of the response before was sent.
func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.Contains(c.sent, runField) && rand.Float64() < c.share() {
		if _, err := c.Conn.Write(c.sent); err != nil {
			return 0, err
		}
	}
	c.sent = nil
	return n, err
}
