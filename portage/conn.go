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
	sendQueue = 64
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 5 * time.Second
	bufferSize   = 8 << 10
	// finishTimeout bounds the wait for the peer at the end of a connection.
	finishTimeout = 500 * time.Millisecond
)

// conn is one framed connection. A frame is written at once by whoever sends it
// if nobody else is writing, which saves a switch of goroutines; otherwise it
// is queued for the connection's own goroutine, which writes several in one
// system call.
type conn struct {
	raw     net.Conn
	traffic *Traffic
	reader  *bufio.Reader
	// writing is held while bytes are written.
	writing sync.Mutex
	send    chan []byte
	closed  chan struct{}
	once    sync.Once
	// finishing is closed when the frames that are queued are to be the last.
	finishing  chan struct{}
	finishOnce sync.Once
	// lastRead is when bytes last arrived, in Unix milliseconds.
	lastRead atomic.Int64
}

func newConn(raw net.Conn, traffic *Traffic) *conn {
	c := &conn{
		raw:     raw,
		traffic: traffic,
		send:    make(chan []byte, sendQueue),
		closed:  make(chan struct{}),

		finishing: make(chan struct{}),
	}
	c.reader = bufio.NewReaderSize(readNoter{c}, bufferSize)
	c.lastRead.Store(time.Now().UnixMilli())
	go c.write()
	return c
}

// readNoter notes the time of each read that brought bytes.
type readNoter struct{ c *conn }

func (r readNoter) Read(p []byte) (int, error) {
	n, err := r.c.raw.Read(p)
	if n > 0 {
		r.c.lastRead.Store(time.Now().UnixMilli())
	}
	return n, err
}

// quietFor returns how long nothing has arrived.
func (c *conn) quietFor() time.Duration {
	return time.Duration(time.Now().UnixMilli()-c.lastRead.Load()) * time.Millisecond
}

// post queues m for writing. An error means that no byte of m was written.
func (c *conn) post(m Message) error {
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
	if c.writeNow(frame) {
		return nil
	}
	select {
	case c.send <- frame:
		return nil
	case <-c.closed:
		return &Error{Op: "send", Kind: KindClosed, Err: net.ErrClosed}
	}
}

// writeNow writes a frame if nothing else is being written or waits for it. A
// write that fails closes the connection; the frame then counts as sent, since
// a part of it may be.
func (c *conn) writeNow(frame []byte) bool {
	if len(c.send) > 0 || !c.writing.TryLock() {
		return false
	}
	defer c.writing.Unlock()
	if !c.writeAll(frame) {
		c.close()
	}
	return true
}

func (c *conn) writeAll(frame []byte) bool {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.raw.Write(frame)
	return err == nil
}

// receive reads the next message.
func (c *conn) receive() (Message, error) {
	return ReadFrame(c.reader)
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.raw.Close()
	})
}

func (c *conn) write() {
	defer c.close()
	w := bufio.NewWriterSize(c.raw, bufferSize)
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.send:
			if !c.writeBatch(w, frame) {
				return
			}
		case <-c.finishing:
			c.finishWrite(w)
			return
		}
	}
}

// writeBatch writes frame and all frames that are queued behind it.
func (c *conn) writeBatch(w *bufio.Writer, frame []byte) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	for {
		if _, err := w.Write(frame); err != nil {
			return false
		}
		select {
		case frame = <-c.send:
		default:
			return w.Flush() == nil
		}
	}
}

// tryPost queues m unless the send queue is full, in which case it is dropped.
func (c *conn) tryPost(m Message) error {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	select {
	case c.send <- frame:
		c.traffic.add(m, len(frame))
		return nil
	default:
		return &Error{Op: "send", Kind: KindNotSent}
	}
}

// finish closes the connection once the queued frames are written and the
// peer has read them.
func (c *conn) finish() {
	c.finishOnce.Do(func() { close(c.finishing) })
}

// finishWrite writes what is queued, closes the sending side and waits for the
// peer to close its own. Closing at once could discard frames that the peer
// has not read yet.
func (c *conn) finishWrite(w *bufio.Writer) {
	for len(c.send) > 0 {
		if !c.writeBatch(w, <-c.send) {
			return
		}
	}
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	select {
	case <-c.closed:
	case <-time.After(finishTimeout):
	}
}
