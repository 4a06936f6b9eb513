package portage

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errIdle is the cause of closing an idle connection.
var errIdle = errors.New("connection closed after the idle timeout")

// result is the outcome of a pending request: a response or an error.
type result struct {
	response Response
	err      error
}

// channel is a connection of a Link after the handshake, with the requests that
// are pending on it.
type channel struct {
	conn    *conn
	welcome Welcome

	mu sync.Mutex
	// lastStream is the highest stream number used.
	lastStream uint64
	pending    map[uint64]chan result
	// closeErr is set when the connection is abandoned. No request is added
	// afterwards.
	closeErr error
	// busy receives a value when a request is added while none is pending.
	busy chan struct{}
	// lastUse is the time when the number of pending requests last changed from
	// or to zero.
	lastUse time.Time
}

func newChannel(c *conn, w Welcome) *channel {
	return &channel{
		conn:    c,
		welcome: w,
		pending: make(map[uint64]chan result),
		busy:    make(chan struct{}, 1),
		lastUse: time.Now(),
	}
}

func (ch *channel) do(ctx context.Context, q Request) (Response, error) {
	results, err := ch.add(q)
	if err != nil {
		return nil, err
	}
	out, err := ch.conn.send(ctx, q)
	if err != nil {
		ch.remove(q.streamNumber())
		return nil, err
	}
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
	}
	ch.remove(q.streamNumber())
	if out.withdraw() {
		return nil, &Error{Op: "send", Kind: KindNotSent, Err: ctx.Err()}
	}
	_ = ch.conn.trySend(&Cancel{Stream: q.streamNumber()})
	return nil, &Error{Op: "receive", Kind: KindLost, Err: ctx.Err()}
}

func (ch *channel) add(q Request) (chan result, error) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.closeErr != nil {
		return nil, &Error{Op: "send", Kind: KindClosed, Err: ch.closeErr}
	}
	ch.lastStream++
	q.setStreamNumber(ch.lastStream)
	results := make(chan result, 1)
	if len(ch.pending) == 0 {
		ch.lastUse = time.Now()
		select {
		case ch.busy <- struct{}{}:
		default:
		}
	}
	ch.pending[ch.lastStream] = results
	return results, nil
}

func (ch *channel) remove(stream uint64) chan result {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	results := ch.pending[stream]
	delete(ch.pending, stream)
	if len(ch.pending) == 0 {
		ch.lastUse = time.Now()
	}
	return results
}

// deliver passes r to its pending request. It drops a response that has none,
// such as one whose request was cancelled.
func (ch *channel) deliver(r Response) {
	if results := ch.remove(r.streamNumber()); results != nil {
		results <- result{response: r}
	}
}

// fail ends all pending requests with err.
func (ch *channel) fail(err error) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.closeErr == nil {
		ch.closeErr = err
	}
	for stream, results := range ch.pending {
		results <- result{err: err}
		delete(ch.pending, stream)
	}
}

// pendingRequests returns the number of pending requests.
func (ch *channel) pendingRequests() int {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return len(ch.pending)
}

// closeIfIdle takes no more requests if none was pending for the idle timeout,
// and reports whether it did so. Requests that come later fail with KindClosed.
func (ch *channel) closeIfIdle(idleTimeout time.Duration) bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if len(ch.pending) > 0 || time.Since(ch.lastUse) < idleTimeout {
		return false
	}
	ch.closeErr = errIdle
	return true
}

// tryPing sends a Ping unless the send queue is full.
func (ch *channel) tryPing() { _ = ch.conn.trySend(&Ping{}) }
