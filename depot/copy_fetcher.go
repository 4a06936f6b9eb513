package depot

import (
	"context"
	"math/rand/v2"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"github.com/rs/zerolog"
)

const (
	// fetchPause is the mean pause between two requests to other nodes.
	fetchPause = 300 * time.Millisecond
	// fetchTimeout limits the duration of one request.
	fetchTimeout = time.Second
)

// copyFetcher fetches the data of other nodes' sources while the node's own
// source is unavailable. Without it, a node that starts in that time would have
// no routes and a running node would miss changes. It also compares the source with
// others while it may be old.
type copyFetcher struct {
	source Source
	sink   Sink
	router *dispatch.Router
	peers  *peers
	// self is the address of the node for others.
	self string
	// seeds are the addresses of nodes to query while no other VM is known.
	seeds []string
	log   zerolog.Logger
	guard *guard
}

// run queries one node at a time until ctx ends.
func (f *copyFetcher) run(ctx context.Context) error {
	return f.guard.loop(ctx, "copy-fetcher", func() {
		clock.Sleep(ctx, fetchPause/2+rand.N(fetchPause))
		if f.source.Unavailable() && ctx.Err() == nil {
			f.fetch(ctx)
		}
		if f.source.MayBeOld() && ctx.Err() == nil {
			f.compare(ctx)
		}
	})
}

// fetch queries a random known node or a seed, and adopts its data if newer.
func (f *copyFetcher) fetch(ctx context.Context) {
	p := f.choosePeer()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	known := f.source.Revision()
	c := f.request(ctx, p, f.source.CopyAfter())
	if c == nil {
		return
	}
	if err := f.source.Adopt(f.sink, copyOf(c), 0); err != nil {
		f.logRefused(p, c, err)
		return
	}
	if f.source.Revision() == known {
		return
	}
	f.log.Info().Str("event", "copy-adopted").Str("vm", p.vm).Uint64("from", known).Uint64("to", c.Revision).Send()
}

// compare compares the source with that of a random known node or a seed, and adopts the
// configuration from there if newer.
func (f *copyFetcher) compare(ctx context.Context) {
	p := f.choosePeer()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c := f.request(ctx, p, AfterVersion)
	if c == nil || !f.source.Compare(f.sink, copyOf(c)) {
		return
	}
	if c = f.request(ctx, p, AfterConfiguration); c == nil {
		return
	}
	if err := f.source.AdoptConfiguration(f.sink, copyOf(c)); err != nil {
		f.logRefused(p, c, err)
	}
}

// request requests what a node has after a revision; nil if it has nothing or does not
// answer.
func (f *copyFetcher) request(ctx context.Context, p *peer, after uint64) *portage.CopyResponse {
	link, err := p.connect(ctx)
	if err != nil {
		return nil
	}
	r, err := link.Do(ctx, &portage.CopyRequest{After: after})
	c, ok := r.(*portage.CopyResponse)
	if err != nil || !ok || len(c.Text) == 0 {
		return nil
	}
	return c
}

// logRefused logs a copy that the source rejected.
func (f *copyFetcher) logRefused(p *peer, c *portage.CopyResponse, err error) {
	f.log.Warn().Str("event", "copy-refused").Str("vm", p.vm).Uint64("revision", c.Revision).Err(err).Send()
}

// choosePeer returns the node to query; nil if no VM and no seed is known. It may be
// this node, but not if there are seeds.
func (f *copyFetcher) choosePeer() *peer {
	if v, ok := f.router.AnyVM(); ok && (v.Address() != f.self || len(f.seeds) == 0) {
		return f.peers.get(v.Name(), v.Address())
	}
	if len(f.seeds) == 0 {
		return nil
	}
	address := f.seeds[rand.IntN(len(f.seeds))]
	return f.peers.get(address, address)
}
