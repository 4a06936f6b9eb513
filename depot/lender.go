package depot

import (
	"context"
	"sync/atomic"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
)

// lender tells other nodes what the node's source knows. It is safe for
// concurrent use.
type copyServer struct {
	// source is nil where nodes exchange records and rosters instead.
	source Source
	clock  clock.Clock
	// askedAt is when another node last waited for news, on the clock.
	lastRequest atomic.Int64
	// stopping is closed when the node begins to stop.
	stopping chan struct{}
}

// wait returns how long the platform may hold a question of the node, in
// milliseconds: not for long while others hear from it, 0 for as long as the
// source likes.
func (l *copyServer) platformWait() clock.Millis {
	if at := l.lastRequest.Load(); at > 0 && int64(l.clock.Now())-at < int64(followerExpiry) {
		return watcherWait
	}
	return 0
}

// copied answers a Copy.
func (l *copyServer) handleCopy(ctx context.Context, q *portage.CopyRequest) *portage.CopyResponse {
	if l.source == nil {
		return &portage.CopyResponse{Away: true}
	}
	began := l.clock.Now()
	if q.WaitMS > 0 {
		l.lastRequest.Store(int64(max(1, began)))
		l.awaitUpdate(ctx, q)
	}
	// In this order the asker never takes the copy for newer than it is.
	held := l.clock.Now() - began
	age := l.source.Age()
	c := l.source.Copy(q.After)
	return &portage.CopyResponse{
		Revision: c.Revision,
		Whole:    c.Whole,
		Text:     c.Text,
		Away:     l.unavailable(),
		AgeMS:    int64(age),
		HeldMS:   int64(held),
	}
}

// await waits until the source was told something, and no longer than the
// question says.
func (l *copyServer) awaitUpdate(ctx context.Context, q *portage.CopyRequest) {
	news := l.source.Updated()
	if l.unavailable() || l.source.Revision() > q.After {
		return
	}
	timer := time.NewTimer(min(clock.Millis(q.WaitMS), followWait).Duration())
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
	case <-l.stopping:
	}
}

// away reports whether others should hear from another node.
func (l *copyServer) unavailable() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return l.source.Unavailable()
	}
}
