package portage

import (
	"context"
	"sync"
	"time"
)

// reply is what a waiting request gets: a response or an error.
type result struct {
	response Response
	err      error
}

// channel is one greeted connection of a Link and the requests that wait on
// it.
type channel struct {
	conn    *conn
	welcome Welcome

	mu sync.Mutex
	// last is the highest stream number used.
	lastStream uint64
	pending    map[uint64]chan result
	// failed is set when the connection is given up; no request is added
	// afterwards.
	closeErr error
	// busy is signalled when a request begins to wait.
	busy chan struct{}
	// lastUse is when the number of waiting requests last left zero or
	// returned to it.
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
	wait, err := ch.add(q)
	if err != nil {
		return nil, err
	}
	if err := ch.conn.send(q); err != nil {
		ch.remove(q.streamID())
		return nil, err
	}
	select {
	case r := <-wait:
		return r.response, r.err
	case <-ctx.Done():
		ch.remove(q.streamID())
		_ = ch.conn.trySend(&Cancel{Stream: q.streamID()})
		return nil, &Error{Op: "receive", Kind: KindLost, Err: ctx.Err()}
	}
}

func (ch *channel) add(q Request) (chan result, error) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.closeErr != nil {
		return nil, &Error{Op: "send", Kind: KindClosed, Err: ch.closeErr}
	}
	ch.lastStream++
	q.setStream(ch.lastStream)
	wait := make(chan result, 1)
	if len(ch.pending) == 0 {
		ch.lastUse = time.Now()
		select {
		case ch.busy <- struct{}{}:
		default:
		}
	}
	ch.pending[ch.lastStream] = wait
	return wait, nil
}

func (ch *channel) remove(stream uint64) chan result {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	wait := ch.pending[stream]
	delete(ch.pending, stream)
	if len(ch.pending) == 0 {
		ch.lastUse = time.Now()
	}
	return wait
}

// deliver hands r to the request that waits for it; a response that nothing
// waits for is dropped.
func (ch *channel) deliver(r Response) {
	if wait := ch.remove(r.streamID()); wait != nil {
		wait <- result{response: r}
	}
}

// fail ends all waiting requests.
func (ch *channel) fail(err error) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.closeErr == nil {
		ch.closeErr = err
	}
	for stream, wait := range ch.pending {
		wait <- result{err: err}
		delete(ch.pending, stream)
	}
}

// load returns the number of waiting requests and the time since they became
// some or none.
func (ch *channel) pendingRequests() (waiting int, since time.Duration) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return len(ch.pending), time.Since(ch.lastUse)
}

// tryPing probes the peer unless the send queue is full.
func (ch *channel) tryPing() { _ = ch.conn.trySend(&Ping{}) }
