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
// drains the node, waits for the calls in progress and closes the ports.
func (n *Node) stop(peers net.Listener, callers []*landing.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.stop.timeout())
	defer cancel()
	n.stopping.Store(true)
	close(n.copyServer.stopping)
	n.log.Info().Str("event", "stopping").Str("vm", n.settings.vm).Send()
	clock.Sleep(ctx, n.settings.stop.linger())
	n.Drain()
	n.closed.Store(true)
	n.awaitIdle(ctx)
	for _, s := range callers {
		_ = s.Shutdown(ctx)
	}
	_ = peers.Close()
	_ = n.server.Shutdown(ctx)
	n.peers.close()
}

// awaitIdle waits until no call has been in progress for idleSpan, or until ctx
// ends.
func (n *Node) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for time.Since(idleSince) < idleSpan {
		if n.owner.inFlight.Load()+n.entry.inFlight.Load() > 0 {
			idleSince = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
