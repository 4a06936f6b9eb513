package depot

import (
	"context"
	"net"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/landing"
	"cuminhollow.example/portage"
)

// Drain makes the node leave: it notifies its peers and rejects new calls, but
// keeps running.
func (n *Node) Drain() {
	if n.owner.leaving.Swap(true) {
		return
	}
	n.entry.leaving.Store(true)
	n.log.Info().Str("event", "leaving").Str("vm", n.settings.vm).Send()
	notice := &portage.Leaving{VM: n.settings.vm, Incarnation: n.incarnation}
	n.server.Broadcast(notice)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, p := range n.peers.connected() {
		if link, err := p.connect(ctx); err == nil {
			_ = link.Notify(ctx, notice)
		}
	}
}

// stop keeps serving until callers have seen that the node is not ready, then
// drains the node, waits for the calls in progress and closes the ports. Calls that
// cannot end in time are rejected while they wait, and answered as unknown when they
// run, so that none ends without an answer.
func (n *Node) stop(peers net.Listener, callers []*landing.Server) {
	settings := n.settings.stop
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(settings.timeout()))
	defer cancel()
	n.entry.stop.begin(n.clock.Now() + clock.FromDuration(settings.recall()))
	n.stopping.Store(true)
	close(n.copyServer.stopping)
	n.log.Info().Str("event", "stopping").Str("vm", n.settings.vm).Send()
	clock.Sleep(ctx, settings.linger())
	n.Drain()
	n.closed.Store(true)
	if !n.awaitIdle(ctx, began.Add(settings.recall())) {
		n.log.Info().Str("event", "recalling").Int64("owned", n.owner.inFlight.Load()).Int64("taken", n.entry.inFlight.Load()).Send()
		n.owner.controller.Close()
		n.entry.stop.recall()
	}
	if !n.awaitIdle(ctx, began.Add(settings.giveUp())) {
		n.log.Info().Str("event", "giving-up").Int64("owned", n.owner.inFlight.Load()).Int64("taken", n.entry.inFlight.Load()).Send()
		n.entry.stop.giveUp()
	}
	for _, s := range callers {
		_ = s.Shutdown(ctx)
	}
	_ = peers.Close()
	_ = n.server.Shutdown(ctx)
	n.peers.close()
}

// awaitIdle waits until no call has been in progress for idleSpan, and reports whether
// that was so before a time.
func (n *Node) awaitIdle(ctx context.Context, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for time.Since(idleSince) < idleSpan {
		if n.owner.inFlight.Load()+n.entry.inFlight.Load() > 0 {
			idleSince = time.Now()
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
