package receipt

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// startPair returns the two ends of a connection. What the first one writes is held by
// small buffers.
func startPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	dial := Dial(new(net.Dialer))
	conn, err := dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	c := conn.(*Conn)
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
	return c, peer.(*net.TCPConn)
}

// readAfter reads to the end of what the peer sent, after a pause.
func readAfter(c *Conn, pause time.Duration) (string, error) {
	time.Sleep(pause)
	text, err := io.ReadAll(c)
	return string(text), err
}

// fill writes until a write fails, and returns its error.
func fill(c *Conn) error {
	block := make([]byte, 64<<10)
	for {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
}

func isCut(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindCut && errors.Is(err, syscall.ECONNRESET)
}

// TestReset resets a connection on which nothing is written, on which a write fails
// before the next read, and on which one waits while a read waits too.
func TestReset(t *testing.T) {
	const plays = 50
	for _, tt := range []struct {
		name string
		play func(c *Conn, peer *net.TCPConn) (string, error)
		// byWrite tells that the write got the error of the reset each time.
		byWrite bool
	}{
		{"read", func(c *Conn, peer *net.TCPConn) (string, error) {
			resetPeer(peer)
			return readAfter(c, 0)
		}, false},
		{"write, then read", func(c *Conn, peer *net.TCPConn) (string, error) {
			resetPeer(peer)
			_ = fill(c)
			return readAfter(c, 0)
		}, true},
		{"both wait", func(c *Conn, peer *net.TCPConn) (string, error) {
			go func() { _ = fill(c) }()
			time.AfterFunc(5*time.Millisecond, func() { resetPeer(peer) })
			return readAfter(c, 0)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for n := range plays {
				c, peer := startPair(t)
				_, _ = io.WriteString(peer, "part")
				got, err := tt.play(c, peer)
				if got != "part" || !errors.Is(err, syscall.ECONNRESET) {
					t.Fatalf("play %d: got %q and %v, want a part and a reset", n, got, err)
				}
				if tt.byWrite && !isCut(err) {
					t.Fatalf("play %d: got %v, want an error of kind %d", n, err, KindCut)
				}
			}
		})
	}
}

// resetPeer resets a connection and waits until the other end knows.
func resetPeer(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
	time.Sleep(time.Millisecond)
}

// TestOrderlyEnd ends the peer's side in order. The read must see that end whatever
// happens to writes, and must not wait for the peer to read.
func TestOrderlyEnd(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(c *Conn, peer *net.TCPConn) error
		// writeError is what the write that play makes returns.
		writeError error
	}{
		{"a write waits", func(c *Conn, _ *net.TCPConn) error {
			done := make(chan error, 1)
			go func() { done <- fill(c) }()
			if got, err := readAfter(c, 5*time.Millisecond); got != "whole" || err != nil {
				return errors.New("got " + got + ", want the whole")
			}
			return <-done
		}, os.ErrDeadlineExceeded},
		{"reset after the end", func(c *Conn, peer *net.TCPConn) error {
			time.Sleep(time.Millisecond)
			resetPeer(peer)
			return fill(c)
		}, syscall.EPIPE},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, peer := startPair(t)
			_, _ = io.WriteString(peer, "whole")
			_ = peer.CloseWrite()
			if err := tt.play(c, peer); !errors.Is(err, tt.writeError) {
				t.Errorf("write: got %v, want %v", err, tt.writeError)
			}
			if got, err := io.ReadAll(c); err != nil || len(got) > 0 && string(got) != "whole" {
				t.Errorf("read: got %q and %v, want an orderly end", got, err)
			}
		})
	}
}

// slowWriteConn is a connection on which a write has the error of a reset and takes a
// while to return it. A read then looks like an orderly end.
type slowWriteConn struct {
	net.Conn
	// reset is closed when the write has the error.
	reset chan struct{}
}

// Read implements net.Conn.
func (c *slowWriteConn) Read([]byte) (int, error) {
	<-c.reset
	return 0, io.EOF
}

// Write implements net.Conn.
func (c *slowWriteConn) Write([]byte) (int, error) {
	close(c.reset)
	time.Sleep(20 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

// SetWriteDeadline implements net.Conn.
func (*slowWriteConn) SetWriteDeadline(time.Time) error { return nil }

// TestReadAwaitsWrite ends the input while a write has the error of the reset but has
// not returned it.
func TestReadAwaitsWrite(t *testing.T) {
	c := NewConn(&slowWriteConn{reset: make(chan struct{})})
	go func() { _, _ = c.Write([]byte("x")) }()
	if _, err := c.Read(make([]byte, 1)); !isCut(err) {
		t.Errorf("got %v, want an error of kind %d", err, KindCut)
	}
}
