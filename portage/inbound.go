package portage

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// inboundIdleTimeout is how long a server keeps a connection on which nothing
// arrives. It is longer than the idle timeout of a Link.
const inboundIdleTimeout = 3 * time.Minute

// ErrCancelled is the cause of a request's context when the peer cancelled the
// request. It distinguishes this case from a lost connection.
var ErrCancelled = errors.New("portage: request cancelled by the peer")

// inbound is the server side of a connection.
type inbound struct {
	server *Server
	conn   *conn
	peer   Peer
	// ctx is cancelled when the connection ends.
	ctx context.Context

	mu sync.Mutex
	// cancels has an entry for each request in progress, by stream number.
	cancels map[uint64]context.CancelCauseFunc
}

func (in *inbound) readLoop(raw net.Conn) {
	for {
		_ = raw.SetReadDeadline(time.Now().Add(inboundIdleTimeout))
		m, err := in.conn.receive()
		if err != nil {
			return
		}
		if !in.handle(m) {
			return
		}
	}
}

// handle processes one message and reports whether the connection stays open.
func (in *inbound) handle(m Message) bool {
	switch m := m.(type) {
	case *Ping:
		_ = in.conn.trySend(&Pong{})
	case *Cancel:
		in.cancelStream(m.Stream)
	case Notice:
		in.server.handler.Notice(in.peer, m)
	case Request:
		return in.startRequest(m)
	default:
		return false
	}
	return true
}

// startRequest handles q in a new goroutine. It reports false, which closes the
// connection, when the stream number is already in use or maxStreams requests
// are in progress.
func (in *inbound) startRequest(q Request) bool {
	ctx, cancel := context.WithCancelCause(in.ctx)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cancels[q.streamNumber()] != nil || len(in.cancels) >= maxStreams {
		cancel(nil)
		return false
	}
	in.cancels[q.streamNumber()] = cancel
	in.server.inFlight.Add(1)
	go in.run(ctx, cancel, q)
	return true
}

func (in *inbound) run(ctx context.Context, cancel context.CancelCauseFunc, q Request) {
	defer in.server.inFlight.Add(-1)
	defer cancel(nil)
	defer in.server.settings.recoverPanic("request", in.conn.close)
	number := q.streamNumber()
	r := in.server.handler.Handle(ctx, in.peer, q)
	in.mu.Lock()
	delete(in.cancels, number)
	in.mu.Unlock()
	if r == nil {
		return
	}
	r.setStreamNumber(number)
	_, _ = in.conn.send(context.Background(), r)
}

func (in *inbound) cancelStream(number uint64) {
	in.mu.Lock()
	cancel := in.cancels[number]
	in.mu.Unlock()
	if cancel != nil {
		cancel(ErrCancelled)
	}
}
