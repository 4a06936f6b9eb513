package landing

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readBufferSize is the size of the read buffer of a connection, in bytes. It
	// bounds what is read of further requests while earlier ones are unanswered.
	readBufferSize = 4 << 10
	// maxOpen is the maximum number of unanswered requests on a connection.
	maxOpen = 16
	// lingerTime is how long the rest of a caller's bytes is read and discarded
	// before a connection is closed. Closing it earlier could destroy a response
	// that the caller has not read yet.
	lingerTime = 500 * time.Millisecond
	// lastReadTime is how long a connection without a request is read once more
	// before it is closed. A request that has arrived by then is taken.
	lastReadTime = 50 * time.Millisecond
)

// conn is one connection of a caller. One goroutine reads its requests; each
// request is handled and answered in a goroutine of its own.
type conn struct {
	server  *Server
	raw     net.Conn
	limited *LimitedReader
	reader  *bufio.Reader
	// ctx ends when the caller has left or the connection is closed.
	ctx    context.Context
	cancel context.CancelFunc
	// left is set once the caller has closed its side. Only the reading goroutine
	// uses it.
	left bool

	mu sync.Mutex
	// open counts the unanswered requests.
	open int
	// last is closed when the newest request is answered; nil before the first.
	last <-chan struct{}
	// closing is set once a response announced that the connection closes. No
	// further request is taken, not even one that has arrived.
	closing bool
	// stopped is set when no request is taken but one that has begun to arrive.
	stopped bool
	// waiting is set while the reading goroutine waits for a change of the fields
	// above. Such a change then ends its read.
	waiting bool
	// changed is signalled at each change while the reading goroutine waits.
	changed chan struct{}
	// idleSince is when the last request was answered or the connection began.
	idleSince time.Time
	// reading is set from the first byte of a request until it is taken.
	reading bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, limited: NewLimitedReader(raw), changed: make(chan struct{}, 1), idleSince: time.Now()}
	c.reader = bufio.NewReaderSize(c.limited, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve takes requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.cancel()
	for c.awaitFirstByte() {
		req, err := c.readHead()
		if err != nil {
			c.reject(err)
			break
		}
		if !c.take(req) {
			break
		}
	}
	c.finish()
}

// awaitFirstByte waits for the first byte of the next request. It reports false if
// no further request is taken.
func (c *conn) awaitFirstByte() bool {
	c.limited.Allow(-1)
	ready := c.wait(func() state {
		idleUntil := c.idleSince.Add(c.server.settings.limits().IdleTime)
		switch {
		case c.closing, c.left:
			return stateOver
		case c.reader.Buffered() > 0:
			c.reading = true
			return stateReady
		case c.stopped, c.open == 0 && !time.Now().Before(idleUntil):
			return stateOver
		}
		return stateWaiting
	})
	return ready || c.readOnce()
}

// readOnce reports whether a request has arrived on a connection that is to be
// closed for want of one. Its bytes may still be unread, since a change ends the
// read that waits for them.
func (c *conn) readOnce() bool {
	if c.isOver() {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lastReadTime))
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	return true
}

// isOver reports whether no further request is taken, not even one that has arrived.
func (c *conn) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.left
}

// readHead reads the head of a request whose first byte has arrived.
func (c *conn) readHead() (*http.Request, error) {
	limits := c.server.settings.limits()
	c.limited.Allow(max(0, limits.HeaderBytes-c.reader.Buffered()))
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	req, err := readRequest(c.reader)
	c.limited.Allow(-1)
	return req, err
}

// take hands a request to the handler, once it may run beside the unanswered ones.
// It returns when the next request can be read, and reports false if there is none.
func (c *conn) take(req *http.Request) bool {
	alone := req.ContentLength != 0 || !c.server.settings.concurrent(req)
	arrived := time.Now()
	ready := c.wait(func() state {
		switch {
		case c.closing, c.left:
			return stateOver
		case alone && c.open > 0, c.open >= maxOpen:
			return stateWaiting
		}
		return stateReady
	})
	if !ready {
		return false
	}
	ex := c.begin(req, arrived)
	go ex.run()
	if ex.body == nil {
		return true
	}
	return ex.body.await()
}

// begin adds a request, whose head arrived at a time, to the unanswered ones.
func (c *conn) begin(req *http.Request, arrived time.Time) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := make(chan struct{})
	ex := &exchange{conn: c, previous: c.last, done: done}
	c.last = done
	c.open++
	c.reading = false
	c.closing = req.Close || !req.ProtoAtLeast(1, 1)
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, arrivedKey{}, arrived))
	ex.cancel = cancel
	ex.request = req.WithContext(ctx)
	ex.request.RemoteAddr = c.raw.RemoteAddr().String()
	if req.ContentLength != 0 {
		ex.body = newRequestBody(c, req)
		ex.request.Body = ex.body
	}
	return ex
}

// end removes a request that was answered.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.idleSince = time.Now()
	c.notifyLocked()
}

// announceClose makes the connection take no further request, and reports whether
// the given request is the newest one, whose response is the last.
func (c *conn) announceClose(ex *exchange) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.notifyLocked()
	return c.last == ex.done
}

// takesMore reports whether the connection stays open after a response.
func (c *conn) takesMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.stopped
}

// stop makes the connection take no further request, except one that has begun to
// arrive.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.notifyLocked()
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.raw.Close()
}

// idle reports whether the connection has no request, and since when.
func (c *conn) idle() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.open == 0 && !c.reading
}

// reject answers a request whose head could not be read, unless the caller has
// left.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	var own *Error
	var timeout net.Error
	switch {
	case errors.As(err, &own):
		status = own.Status
	case c.limited.Exceeded():
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isReset(err):
		c.left = true
		c.cancel()
		return
	}
	c.wait(c.allAnswered)
	res := newResponse()
	res.WriteHeader(status)
	c.write(res, nil, true)
}

// finish waits until all requests are answered and closes the connection.
func (c *conn) finish() {
	c.wait(c.allAnswered)
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && !c.left && half.CloseWrite() == nil {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.raw)
	}
	_ = c.raw.Close()
}

// write writes a response and reports whether that succeeded.
func (c *conn) write(res *response, req *http.Request, closes bool) bool {
	head, rest := res.encode(req, closes)
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.settings.limits().WriteTime))
	if _, err := c.raw.Write(head); err != nil {
		return false
	}
	if len(rest) == 0 {
		return true
	}
	_, err := c.raw.Write(rest)
	return err == nil
}
