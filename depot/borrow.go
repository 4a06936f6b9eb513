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
	// borrowPause is the mean pause between two questions to other nodes.
	fetchPause = 300 * time.Millisecond
	// borrowTimeout bounds one question.
	fetchTimeout = time.Second
)

// borrower asks other nodes for what they know while the node's own source gets
// no answers: a node that starts then would have no routes, and one that runs
// would miss what changes.
type copyFetcher struct {
	source Source
	sink   Sink
	router *dispatch.Router
	peers  *peers
	// seeds are the addresses of nodes to ask when no VM is known.
	seeds []string
	log   zerolog.Logger
}

// run asks one node at a time until ctx ends.
func (b *copyFetcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, fetchPause/2+rand.N(fetchPause))
		if b.source.Unavailable() && ctx.Err() == nil {
			b.fetch(ctx)
		}
	}
	return nil
}

// ask asks a random node that is known, or a seed, and adopts what is newer.
func (b *copyFetcher) fetch(ctx context.Context) {
	p := b.choosePeer()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	link, err := p.connect(ctx)
	if err != nil {
		return
	}
	known := b.source.Revision()
	r, err := link.Do(ctx, &portage.CopyRequest{After: known})
	c, ok := r.(*portage.CopyResponse)
	if err != nil || !ok || len(c.Text) == 0 {
		return
	}
	if err := b.source.Adopt(b.sink, copyOf(c), 0); err != nil {
		b.log.Warn().Str("event", "copy-refused").Str("vm", p.vm).Uint64("revision", c.Revision).Err(err).Send()
		return
	}
	b.log.Info().Str("event", "copy-adopted").Str("vm", p.vm).Uint64("from", known).Uint64("to", c.Revision).Send()
}

// lender returns the node to ask; nil when none is known.
func (b *copyFetcher) choosePeer() *peer {
	if v, ok := b.router.AnyVM(); ok {
		return b.peers.get(v.Name(), v.Address())
	}
	if len(b.seeds) == 0 {
		return nil
	}
	address := b.seeds[rand.IntN(len(b.seeds))]
	return b.peers.get(address, address)
}
