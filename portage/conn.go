package portage

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sendQueueSize is the maximum number of frames queued for writing.
	sendQueueSize = 64
	// writeTimeout limits the write of one frame to a peer that does not read.
	writeTimeout = 5 * time.Second
	// bufferSize is the size of the read buffer and of the write buffer of a
	// connection, in bytes.
	bufferSize = 8 << 10
	// maxDirectWrite is the size of a frame up to which its sender writes it, in
	// bytes.
	maxDirectWrite = 16 << 10
	// drainTimeout limits the wait for the peer to close its side of the
	// connection.
	drainTimeout = 500 * time.Millisecond
	// progressInterval is the interval of signs of life while a long message
	// arrives.
	progressInterval = 50 * time.Millisecond
)

// conn is a framed connection. The goroutine that sends a frame writes it
// directly if no other write is in progress, which avoids a goroutine switch.
// Otherwise the frame is queued for the connection's write goroutine, which
// writes several frames in one system call.
type conn struct {
	netConn net.Conn
	traffic *Traffic
	reader  *bufio.Reader
	// writeMu is held while bytes are written.
	writeMu   sync.Mutex
	queue     chan *outgoing
	closed    chan struct{}
	closeOnce sync.Once
	// draining is closed by drain to end the connection after the queued frames
	// are written.
	draining  chan struct{}
	drainOnce sync.Once
	// reads counts the reads that returned bytes.
	reads atomic.Uint64
	// reportsProgress is set on connections of a server, and progressAt is when
	// progress was last reported. Only the reading goroutine uses them.
	reportsProgress bool
	progressAt      time.Time
}

func newConn(raw net.Conn, traffic *Traffic) *conn {
	c := &conn{
		netConn: raw,
		traffic: traffic,
		queue:   make(chan *outgoing, sendQueueSize),
		closed:  make(chan struct{}),

		draining: make(chan struct{}),
	}
	c.reader = bufio.NewReaderSize(activityReader{c}, bufferSize)
	go c.writeLoop()
	return c
}

// activityReader counts the reads that returned bytes.
type activityReader struct{ conn *conn }

func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.conn.netConn.Read(p)
	if n > 0 {
		r.conn.reads.Add(1)
	}
	return n, err
}

// send writes m or queues it for writing, and returns the frame. It waits until
// there is room in the queue or ctx ends. An error means that no byte of m was
// written.
func (c *conn) send(ctx context.Context, m Message) (*outgoing, error) {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.closed:
		return nil, &Error{Op: "send", Kind: KindClosed, Err: net.ErrClosed}
	default:
	}
	c.traffic.add(m, len(frame))
	out := &outgoing{frame: frame}
	if c.tryWrite(out) {
		return out, nil
	}
	select {
	case c.queue <- out:
		return out, nil
	case <-c.closed:
		return nil, &Error{Op: "send", Kind: KindClosed, Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &Error{Op: "send", Kind: KindNotSent, Err: ctx.Err()}
	}
}

// tryWrite writes a short frame if no other frame is being written or queued, and
// reports whether it did. A long one could keep its sender beyond its deadline. A
// failed write closes the connection and also returns
// true, because part of the frame may have been sent.
func (c *conn) tryWrite(out *outgoing) bool {
	if len(out.frame) > maxDirectWrite || len(c.queue) > 0 || !c.writeMu.TryLock() {
		return false
	}
	defer c.writeMu.Unlock()
	out.take()
	if !c.writeAll(out.frame) {
		c.close()
	}
	return true
}

func (c *conn) writeAll(frame []byte) bool {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(frame)
	return err == nil
}

// receive reads the next message. It returns the errors of ReadFrame.
func (c *conn) receive() (Message, error) {
	return readFrame(c.reader, c.reportProgress)
}

// reportProgress tells the peer of a server's connection that bytes of a long
// message arrive. Its pings wait behind that message, and without a sign of life
// it would take the connection for a silent one.
func (c *conn) reportProgress() {
	if c.reportsProgress && time.Since(c.progressAt) >= progressInterval {
		c.progressAt = time.Now()
		_ = c.trySend(&Pong{})
	}
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
		case out := <-c.queue:
			if !c.writeBatch(w, out) {
				return
			}
		case <-c.draining:
			c.writeRemaining(w)
			return
		}
	}
}

// writeBatch writes a frame and all queued frames that were not withdrawn.
func (c *conn) writeBatch(w *bufio.Writer, out *outgoing) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	for {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if out.take() {
			if _, err := w.Write(out.frame); err != nil {
				return false
			}
		}
		select {
		case out = <-c.queue:
		default:
			return w.Flush() == nil
		}
	}
}

// trySend queues m without waiting. It returns an *Error of KindNotSent if the
// queue is full.
func (c *conn) trySend(m Message) error {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	select {
	case c.queue <- &outgoing{frame: frame}:
		c.traffic.add(m, len(frame))
		return nil
	default:
		return &Error{Op: "send", Kind: KindNotSent}
	}
}

// drain makes the write goroutine write the queued frames and close the
// connection when the peer has read them or drainTimeout is over.
func (c *conn) drain() {
	c.drainOnce.Do(func() { close(c.draining) })
}

// writeRemaining writes the queued frames, closes the sending side and waits
// for the peer to close its side. Closing the whole connection immediately
// could discard frames that the peer has not read yet.
func (c *conn) writeRemaining(w *bufio.Writer) {
	for len(c.queue) > 0 {
		if !c.writeBatch(w, <-c.queue) {
			return
		}
	}
	halfCloser, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	select {
	case <-c.closed:
	case <-time.After(drainTimeout):
	}
}
