package depot

import (
	"errors"
	"net"
	"sync/atomic"
)

// errNotStarted is the error of a write of a request that must not be sent.
var errNotStarted = errors.New("depot: the upstream takes no new calls")

// guardedConn is a connection to the upstream that can be kept from carrying a
// request which has it already, but of which no byte was written.
type guardedConn struct {
	net.Conn
	refused atomic.Bool
}

// refuse makes all writes fail.
func (c *guardedConn) refuse() { c.refused.Store(true) }

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, errNotStarted
	}
	return c.Conn.Write(b)
}
