package portage

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// inboundIdle is how long a server keeps a connection on which nothing
// arrives. It is longer than the time after which a Link closes an idle one.
const inboundIdleTimeout = 3 * time.Minute

// ErrCancelled is the cause of the context of a request that the peer has
// cancelled, as opposed to one whose connection was lost.
var ErrCancelled = errors.New("portage: cancelled by the peer")

// inbound is the server's side of one connection.
type inbound struct {
	server *Server
	conn   *conn
	peer   Peer
	// ctx ends with the connection.
	ctx context.Context

	mu sync.Mutex
	// cancel has an entry for each request in work.
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

// take handles one message and reports whether the connection may go on.
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

// begin starts a goroutine for q. A stream that is in work already, or too
// many of them, end the connection.
func (in *inbound) startRequest(q Request) bool {
	ctx, cancel := context.WithCancelCause(in.ctx)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cancels[q.streamID()] != nil || len(in.cancels) >= maxStreams {
		cancel(nil)
		return false
	}
	in.cancels[q.streamID()] = cancel
	in.server.inFlight.Add(1)
	go in.run(ctx, cancel, q)
	return true
}

func (in *inbound) run(ctx context.Context, cancel context.CancelCauseFunc, q Request) {
	defer in.server.inFlight.Add(-1)
	defer cancel(nil)
	id := q.streamID()
	r := in.server.handler.Handle(ctx, in.peer, q)
	in.mu.Lock()
	delete(in.cancels, id)
	in.mu.Unlock()
	if r == nil {
		return
	}
	r.setStream(id)
	_ = in.conn.send(r)
}

func (in *inbound) cancelStream(id uint64) {
	in.mu.Lock()
	cancel := in.cancels[id]
	in.mu.Unlock()
	if cancel != nil {
		cancel(ErrCancelled)
	}
}
