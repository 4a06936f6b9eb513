package depot

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// sourcePlatform is the source name of documents read from the platform.
	sourcePlatform = "platform"
	// maxMessageBytes limits the documents in one message, in bytes. One document
	// of the maximum size fits.
	maxMessageBytes = record.MaxBytes + record.MaxBytes/2
	// bootstrapTimeout limits the duration of one attempt to read the initial
	// documents.
	bootstrapTimeout = 3 * time.Second
	// exchangeTimeout limits the duration of one exchange with a peer.
	exchangeTimeout = 2 * time.Second
	// fallbackAfter is how long a node must have had no successful exchange before
	// it reads the platform itself, in milliseconds.
	fallbackAfter = 10 * clock.Second
	// roleCheckInterval is how often a node checks whether it has become a
	// watcher.
	roleCheckInterval = time.Second
)

// replicator keeps the current documents up to date, from the platform if this
// node is a watcher and from peers by push and anti-entropy exchange.
type replicator struct {
	self     string
	service  string
	zone     string
	clock    clock.Clock
	store    *record.Store
	router   *dispatch.Router
	peers    *peers
	platform *platformClient
	schedule registry.Schedule
	log      zerolog.Logger
	guard    *guard
	seeds    []string
	// applyMu is held from the change of the store until the router and the fleet
	// are updated to match.
	applyMu sync.Mutex
	fleet   atomic.Pointer[registry.Fleet]
	// lastExchange is when an exchange with a peer last succeeded, in milliseconds
	// of clock.
	lastExchange atomic.Int64
	// pending holds the documents that became current since the last push.
	pending chan *record.Document
}

// pendingQueueSize limits the documents that wait to be pushed; further ones
// reach peers by exchange.
const pendingQueueSize = 256

func (r *replicator) currentFleet() *registry.Fleet { return r.fleet.Load() }

// merge adds documents from the platform or a peer to the store. Batches are
// merged one at a time, so when it returns the router matches the current
// documents, including those that another goroutine merged.
func (r *replicator) merge(source string, offered ...record.RawDocument) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	var changed []string
	for _, c := range r.store.OfferAll(offered, source) {
		if c.Verdict == record.VerdictSame || c.Verdict == record.VerdictOlder {
			continue
		}
		r.logChange(c)
		if c.Verdict != record.VerdictInvalid {
			changed = append(changed, c.Key)
		}
	}
	if len(changed) > 0 {
		r.apply(changed)
	}
}

// apply updates the router and the fleet to match the current documents of the
// keys, and queues these documents for the peers. The caller holds applyMu, so
// that an older batch cannot restore an older roster.
func (r *replicator) apply(keys []string) {
	snapshot := r.store.Snapshot()
	rosters := false
	for _, key := range keys {
		d := snapshot.Document(key)
		if roster, ok := d.Content().(*record.Roster); ok {
			r.peers.remove(r.router.Update(roster))
			rosters = true
		}
		select {
		case r.pending <- d:
		default:
		}
	}
	if rosters {
		r.fleet.Store(registry.NewFleet(r.self, r.zone, snapshot))
	}
}

func (r *replicator) logChange(c record.Change) {
	r.log.Info().Str("event", "record-change").Str("key", c.Key).
		Uint64("from", c.From).Uint64("to", c.To).
		Str("digest", c.Digest).Str("source", c.Source).
		Str("verdict", string(c.Verdict)).Str("reason", c.Reason).Send()
}

func (r *replicator) mergeFromPlatform(offered ...record.RawDocument) {
	r.merge(sourcePlatform, offered...)
}

func (r *replicator) mergeFromPeer(vm string, documents []portage.RawDocument) {
	offered := make([]record.RawDocument, 0, len(documents))
	for _, d := range documents {
		offered = append(offered, record.RawDocument{Key: d.Key, Body: d.Body})
	}
	r.merge(vm, offered...)
}

// bootstrap reads documents before the node serves: the roster of its own
// service from the platform, then all documents from peers, and from the
// platform only if no peer has any. Peers that know the node from the rosters
// also push documents to it.
func (r *replicator) bootstrap(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		if err := r.bootstrapOnce(ctx); err != nil {
			r.log.Warn().Str("event", "bootstrap").Int("failures", failures).Err(err).Send()
		}
		if r.store.Snapshot().HasPolicies() {
			r.catchUp(ctx)
			return
		}
		clock.Sleep(ctx, r.schedule.RetryDelay(failures).Duration())
	}
}

// catchUp exchanges documents with all successors in the ring. The peer that
// provided the first documents may be behind.
func (r *replicator) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	for _, m := range r.currentFleet().Successors() {
		r.exchangeWith(ctx, m)
	}
}

func (r *replicator) bootstrapOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	own := record.RosterPrefix + r.service
	body, err := r.platform.value(ctx, own)
	if err == nil {
		r.mergeFromPlatform(record.RawDocument{Key: own, Body: body})
	}
	for _, address := range r.seeds {
		r.exchangeWith(ctx, registry.Member{VM: address, Address: address})
	}
	for range registry.Fanout {
		if m, ok := r.currentFleet().ExchangePeer(rand.IntN); ok {
			r.exchangeWith(ctx, m)
		}
	}
	if r.store.Snapshot().HasPolicies() {
		return nil
	}
	_, err = r.platform.readChanges(ctx, 0, r.mergeFromPlatform)
	return err
}

// run keeps documents up to date until ctx ends.
func (r *replicator) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.watchLoop(ctx) })
	g.Go(func() error { return r.fallbackLoop(ctx) })
	g.Go(func() error { return r.exchangeLoop(ctx) })
	g.Go(func() error { return r.pushLoop(ctx) })
	return g.Wait()
}

// watchLoop watches the platform while this node is a watcher of its zone.
func (r *replicator) watchLoop(ctx context.Context) error {
	var index uint64
	failures := 0
	return r.guard.loop(ctx, "platform-watch", func() {
		if !r.currentFleet().IsWatcher() {
			index = 0
			clock.Sleep(ctx, roleCheckInterval)
			return
		}
		next, err := r.platform.readChanges(ctx, index, r.mergeFromPlatform)
		if err != nil {
			failures++
			index = 0
			r.log.Warn().Str("event", "platform-read").Int("failures", failures).Err(err).Send()
			clock.Sleep(ctx, r.schedule.RetryDelay(failures).Duration())
			return
		}
		failures = 0
		index = next
	})
}

// fallbackLoop reads the platform when this node is not a watcher and has had
// no successful exchange for fallbackAfter.
func (r *replicator) fallbackLoop(ctx context.Context) error {
	return r.guard.loop(ctx, "platform-fallback", func() {
		clock.Sleep(ctx, r.schedule.FallbackDelay(r.currentFleet().Size()).Duration())
		sinceExchange := r.clock.Now() - clock.Millis(r.lastExchange.Load())
		if ctx.Err() != nil || r.currentFleet().IsWatcher() || sinceExchange < fallbackAfter {
			return
		}
		if _, err := r.platform.readChanges(ctx, 0, r.mergeFromPlatform); err != nil {
			r.log.Warn().Str("event", "platform-fallback").Err(err).Send()
		}
	})
}

// pushLoop sends new documents to peers as they become current.
func (r *replicator) pushLoop(ctx context.Context) error {
	return r.guard.loop(ctx, "push", func() {
		select {
		case <-ctx.Done():
		case d := <-r.pending:
			documents := r.takePending(d)
			for _, m := range r.currentFleet().PushTargets(rand.IntN) {
				r.pushTo(ctx, m, documents)
			}
		}
	})
}

// takePending returns first and all documents that are queued at present.
func (r *replicator) takePending(first *record.Document) []*record.Document {
	out := []*record.Document{first}
	for {
		select {
		case d := <-r.pending:
			out = append(out, d)
		default:
			return out
		}
	}
}

func (r *replicator) pushTo(ctx context.Context, m registry.Member, documents []*record.Document) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	link, err := r.peers.get(m.VM, m.Address).connect(ctx)
	if err != nil {
		return
	}
	_ = link.Notify(ctx, &portage.Push{Documents: fitMessage(documents)})
}
