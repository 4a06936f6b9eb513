package portage

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sendQueue is the number of frames that wait for the socket.
	sendQueueSize = 64
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 5 * time.Second
	bufferSize   = 8 << 10
	// finishTimeout bounds the wait for the peer at the end of a connection.
	drainTimeout = 500 * time.Millisecond
)

// conn is one framed connection. A frame is written at once by whoever sends it
// if nobody else is writing, which saves a switch of goroutines; otherwise it
// is queued for the connection's own goroutine, which writes several in one
// system call.
type conn struct {
	netConn net.Conn
	traffic *Traffic
	reader  *bufio.Reader
	// writing is held while bytes are written.
	writeMu   sync.Mutex
	queue     chan []byte
	closed    chan struct{}
	closeOnce sync.Once
	// finishing is closed when the frames that are queued are to be the last.
	draining  chan struct{}
	drainOnce sync.Once
	// lastRead is when bytes last arrived, in Unix milliseconds.
	lastRead atomic.Int64
}

func newConn(raw net.Conn, traffic *Traffic) *conn {
	c := &conn{
		netConn: raw,
		traffic: traffic,
		queue:   make(chan []byte, sendQueueSize),
		closed:  make(chan struct{}),

		draining: make(chan struct{}),
	}
	c.reader = bufio.NewReaderSize(activityReader{c}, bufferSize)
	c.lastRead.Store(time.Now().UnixMilli())
	go c.writeLoop()
	return c
}

// readNoter notes the time of each read that brought bytes.
type activityReader struct{ conn *conn }

func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.conn.netConn.Read(p)
	if n > 0 {
		r.conn.lastRead.Store(time.Now().UnixMilli())
	}
	return n, err
}

// quietFor returns how long nothing has arrived.
func (c *conn) sinceLastRead() time.Duration {
	return time.Duration(time.Now().UnixMilli()-c.lastRead.Load()) * time.Millisecond
}

// post queues m for writing. An error means that no byte of m was written.
func (c *conn) send(m Message) error {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	select {
	case <-c.closed:
		return &Error{Op: "send", Kind: KindClosed, Err: net.ErrClosed}
	default:
	}
	c.traffic.add(m, len(frame))
	if c.tryWrite(frame) {
		return nil
	}
	select {
	case c.queue <- frame:
		return nil
	case <-c.closed:
		return &Error{Op: "send", Kind: KindClosed, Err: net.ErrClosed}
	}
}

// writeNow writes a frame if nothing else is being written or waits for it. A
// write that fails closes the connection; the frame then counts as sent, since
// a part of it may be.
func (c *conn) tryWrite(frame []byte) bool {
	if len(c.queue) > 0 || !c.writeMu.TryLock() {
		return false
	}
	defer c.writeMu.Unlock()
	if !c.writeAll(frame) {
		c.close()
	}
	return true
}

func (c *conn) writeAll(frame []byte) bool {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(frame)
	return err == nil
}

// receive reads the next message.
func (c *conn) receive() (Message, error) {
	return ReadFrame(c.reader)
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.netConn.Close()
	})
}

func (c *conn) writeLoop() {
	defer c.close()
	w := bufio.NewWriterSize(c.netConn, bufferSize)
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.queue:
			if !c.writeBatch(w, frame) {
				return
			}
		case <-c.draining:
			c.writeRemaining(w)
			return
		}
	}
}

// writeBatch writes frame and all frames that are queued behind it.
func (c *conn) writeBatch(w *bufio.Writer, frame []byte) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		if _, err := w.Write(frame); err != nil {
			return false
		}
		select {
		case frame = <-c.queue:
		default:
			return w.Flush() == nil
		}
	}
}

// tryPost queues m unless the send queue is full, in which case it is dropped.
func (c *conn) trySend(m Message) error {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	select {
	case c.queue <- frame:
		c.traffic.add(m, len(frame))
		return nil
	default:
		return &Error{Op: "send", Kind: KindNotSent}
	}
}

// finish closes the connection once the queued frames are written and the
// peer has read them.
func (c *conn) drain() {
	c.drainOnce.Do(func() { close(c.draining) })
}

// finishWrite writes what is queued, closes the sending side and waits for the
// peer to close its own. Closing at once could discard frames that the peer
// has not read yet.
func (c *conn) writeRemaining(w *bufio.Writer) {
	for len(c.queue) > 0 {
		if !c.writeBatch(w, <-c.queue) {
			return
		}
	}
	half, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	select {
	case <-c.closed:
	case <-time.After(drainTimeout):
	}
}
