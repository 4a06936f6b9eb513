package depot

import (
	"context"
	"net"
	"net/http"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
)

// Drain makes the node leave: it tells its peers and refuses new work, but
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
// leaves, waits for the work in flight and closes the ports.
func (n *Node) stop(peers net.Listener, callers []*http.Server) {
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

// settle returns when there was no work for a while.
func (n *Node) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	quiet := time.Now()
	for time.Since(quiet) < idleSpan {
		if n.owner.inFlight.Load()+n.entry.inFlight.Load() > 0 {
			quiet = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
