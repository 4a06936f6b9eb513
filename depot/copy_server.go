package depot

import (
	"context"
	"sync/atomic"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
)

// copyServer serves the data of the node's source to other nodes. It is safe
// for concurrent use.
type copyServer struct {
	// source is nil if the nodes exchange records and rosters instead.
	source Source
	clock  clock.Clock
	// lastRequest is when another node last sent a request that waits for
	// updates, in milliseconds of clock; 0 for never.
	lastRequest atomic.Int64
	// stopping is closed when the node begins to stop.
	stopping chan struct{}
}

// platformWait returns how long a poll of the platform may wait for changes, in
// milliseconds: watcherWait while other nodes follow this one, otherwise 0,
// which leaves the wait to the source.
func (s *copyServer) platformWait() clock.Millis {
	if at := s.lastRequest.Load(); at > 0 && int64(s.clock.Now())-at < int64(followerExpiry) {
		return watcherWait
	}
	return 0
}

// handleCopy answers a portage.CopyRequest.
func (s *copyServer) handleCopy(ctx context.Context, q *portage.CopyRequest) *portage.CopyResponse {
	if s.source == nil {
		return &portage.CopyResponse{Away: true}
	}
	began := s.clock.Now()
	if q.WaitMS > 0 {
		s.lastRequest.Store(int64(max(1, began)))
		s.awaitUpdate(ctx, q)
	}
	// The age is read before the copy is made, and the hold time before the age:
	// a change in between makes the data look older to the requester, never newer.
	held := s.clock.Now() - began
	age := s.source.Age()
	c := s.source.Copy(q.After)
	return &portage.CopyResponse{
		Revision: c.Revision,
		Whole:    c.Whole,
		Text:     c.Text,
		Away:     s.unavailable(),
		AgeMS:    int64(age),
		HeldMS:   int64(held),
	}
}

// awaitUpdate waits until the source is updated or the wait time of the request
// is over.
func (s *copyServer) awaitUpdate(ctx context.Context, q *portage.CopyRequest) {
	updated := s.source.Updated()
	if s.unavailable() || s.source.Revision() > q.After {
		return
	}
	timer := time.NewTimer(min(clock.Millis(q.WaitMS), followWait).Duration())
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopping:
	}
}

// unavailable reports whether other nodes should get their updates elsewhere.
func (s *copyServer) unavailable() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return s.source.Unavailable()
	}
}
