package receipt

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side
// in order. The kernel reports a reset once: if a concurrent Write gets the error, the
// next read from the kernel looks like an orderly end. Read then fails with an *Error of
// KindCut instead. As Read has to know the result of such a Write, the end of the
// peer's side also ends all writing.
type Conn struct {
	net.Conn
	// writing is held during each Write.
	writing sync.Mutex
	// broken is the first error of a Write that tells of a broken connection, nil
	// before it. It is guarded by writing.
	broken error
}

// NewConn returns a Conn that reads from and writes to raw.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// Dial returns a function that opens connections with a dialer. They are of type *Conn.
func Dial(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.broken == nil && isBroken(err) {
		c.broken = err
	}
	return n, err
}

// end returns what an end of the input means: io.EOF, or an *Error if a Write got the
// error of a reset. It interrupts a Write that waits for the peer.
func (c *Conn) end() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return &Error{Op: "read to the end", Kind: KindCut, Err: c.broken}
	}
	return io.EOF
}

// isBroken reports whether the error of a write tells that the connection broke before
// the peer had ended its side. EPIPE does not: for a reset before that, the kernel
// returns it only once a call got the error of the reset itself.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}
