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
	// sourcePlatform is the source of documents read from the platform.
	sourcePlatform = "platform"
	// documentsBytes bounds the documents of one message, in bytes. One
	// document of the largest size fits.
	maxMessageBytes = record.MaxBytes + record.MaxBytes/2
	// bootstrapTimeout bounds one round of the first reads.
	bootstrapTimeout = 3 * time.Second
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = 2 * time.Second
	// quietLimit is how long a node does without exchanges before it reads the
	// platform, in milliseconds.
	fallbackAfter = 10 * clock.Second
	// roleCheck is how often a node looks whether it is a reader.
	roleCheckInterval = time.Second
)

// spread keeps the documents in force up to date: from the platform where this
// node reads it, and from peers.
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
	seeds    []string
	// applying is held from the change of the book until the router and the fleet
	// follow it.
	applyMu sync.Mutex
	fleet   atomic.Pointer[registry.Fleet]
	// heard is when an exchange with a peer last succeeded, on the clock.
	lastExchange atomic.Int64
	// fresh holds the documents that came into force since the last push.
	pending chan *record.Document
}

// freshQueue bounds the documents that wait to be pushed; what does not fit
// reaches peers by exchange.
const pendingQueueSize = 256

func (s *replicator) currentFleet() *registry.Fleet { return s.fleet.Load() }

// offer takes documents from the platform or a peer. When it returns, the router
// follows what is in force, also where another goroutine brought it: one batch
// at a time is taken.
func (s *replicator) merge(source string, bodies ...record.RawDocument) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	var changed []string
	for _, c := range s.store.OfferAll(bodies, source) {
		if c.Verdict == record.VerdictSame || c.Verdict == record.VerdictOlder {
			continue
		}
		s.logChange(c)
		if c.Verdict != record.VerdictInvalid {
			changed = append(changed, c.Key)
		}
	}
	if len(changed) > 0 {
		s.apply(changed)
	}
}

// apply makes the documents in force known to the router, the fleet and the
// peers. The mutex is held, so that an older batch cannot bring back an older
// roster.
func (s *replicator) apply(keys []string) {
	now := s.store.Snapshot()
	rosters := false
	for _, key := range keys {
		d := now.Document(key)
		if r, ok := d.Content().(*record.Roster); ok {
			s.peers.remove(s.router.Update(r))
			rosters = true
		}
		select {
		case s.pending <- d:
		default:
		}
	}
	if rosters {
		s.fleet.Store(registry.NewFleet(s.self, s.zone, now))
	}
}

func (s *replicator) logChange(c record.Change) {
	s.log.Info().Str("event", "record-change").Str("key", c.Key).
		Uint64("from", c.From).Uint64("to", c.To).
		Str("digest", c.Digest).Str("source", c.Source).
		Str("verdict", string(c.Verdict)).Str("reason", c.Reason).Send()
}

func (s *replicator) mergeFromPlatform(bodies ...record.RawDocument) {
	s.merge(sourcePlatform, bodies...)
}

func (s *replicator) mergeFromPeer(vm string, documents []portage.RawDocument) {
	bodies := make([]record.RawDocument, 0, len(documents))
	for _, d := range documents {
		bodies = append(bodies, record.RawDocument{Key: d.Key, Text: d.Body})
	}
	s.merge(vm, bodies...)
}

// bootstrap reads documents before the node serves: the roster of its own
// service from the platform, then all documents from peers, and from the
// platform only if no peer has any. Peers that know the node from the rosters
// bring documents too.
func (s *replicator) bootstrap(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		if err := s.bootstrapOnce(ctx); err != nil {
			s.log.Warn().Str("event", "bootstrap").Int("failures", failures).Err(err).Send()
		}
		if s.store.Snapshot().HasPolicies() {
			return
		}
		clock.Sleep(ctx, s.schedule.RetryDelay(failures).Duration())
	}
}

func (s *replicator) bootstrapOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	own := record.RosterPrefix + s.service
	body, err := s.platform.value(ctx, own)
	if err == nil {
		s.mergeFromPlatform(record.RawDocument{Key: own, Text: body})
	}
	for _, address := range s.seeds {
		s.exchangeWith(ctx, registry.Member{VM: address, Address: address})
	}
	for range registry.Fanout {
		if m, ok := s.currentFleet().ExchangePeer(rand.IntN); ok {
			s.exchangeWith(ctx, m)
		}
	}
	if s.store.Snapshot().HasPolicies() {
		return nil
	}
	_, err = s.platform.readChanges(ctx, 0, s.mergeFromPlatform)
	return err
}

// run keeps documents up to date until ctx ends.
func (s *replicator) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.watchLoop(ctx) })
	g.Go(func() error { return s.fallbackLoop(ctx) })
	g.Go(func() error { return s.exchangeLoop(ctx) })
	g.Go(func() error { return s.pushLoop(ctx) })
	return g.Wait()
}

// watch follows the platform while this node is a reader of its zone.
func (s *replicator) watchLoop(ctx context.Context) error {
	var index uint64
	failures := 0
	for ctx.Err() == nil {
		if !s.currentFleet().IsWatcher() {
			index = 0
			clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		next, err := s.platform.readChanges(ctx, index, s.mergeFromPlatform)
		if err != nil {
			failures++
			index = 0
			s.log.Warn().Str("event", "platform-read").Int("failures", failures).Err(err).Send()
			clock.Sleep(ctx, s.schedule.RetryDelay(failures).Duration())
			continue
		}
		failures = 0
		index = next
	}
	return nil
}

// fallback reads the platform when this node is no reader but has not heard
// from any peer for a while.
func (s *replicator) fallbackLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, s.schedule.FallbackDelay(s.currentFleet().Size()).Duration())
		quiet := s.clock.Now() - clock.Millis(s.lastExchange.Load())
		if ctx.Err() != nil || s.currentFleet().IsWatcher() || quiet < fallbackAfter {
			continue
		}
		if _, err := s.platform.readChanges(ctx, 0, s.mergeFromPlatform); err != nil {
			s.log.Warn().Str("event", "platform-fallback").Err(err).Send()
		}
	}
	return nil
}

func (s *replicator) exchangeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, s.schedule.ExchangeDelay().Duration())
		if m, ok := s.currentFleet().ExchangePeer(rand.IntN); ok && ctx.Err() == nil {
			s.exchangeWith(ctx, m)
		}
	}
	return nil
}

// exchangeWith brings this node and a member to the same documents where their
// summaries differ.
func (s *replicator) exchangeWith(ctx context.Context, m registry.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	link, err := s.peers.get(m.VM, m.Address).connect(ctx)
	if err != nil {
		return
	}
	summary := s.store.Snapshot().Summary()
	r, err := link.Do(ctx, &portage.Exchange{Summary: summary[:]})
	listing, ok := r.(*portage.Listing)
	if err != nil || !ok {
		return
	}
	s.lastExchange.Store(int64(s.clock.Now()))
	if len(listing.Buckets) == 0 {
		return
	}
	wanted, surplus := compareListing(s.store.Snapshot(), listing)
	if len(surplus) > 0 {
		_ = link.Notify(ctx, &portage.Push{Documents: fitMessage(surplus)})
	}
	s.fetch(ctx, link, m, wanted)
}

func (s *replicator) fetch(ctx context.Context, link *portage.Link, m registry.Member, keys []string) {
	for len(keys) > 0 {
		r, err := link.Do(ctx, &portage.Fetch{Keys: keys})
		documents, ok := r.(*portage.Documents)
		if err != nil || !ok || len(documents.Documents) == 0 {
			return
		}
		s.mergeFromPeer(m.VM, documents.Documents)
		keys = keys[min(len(documents.Documents), len(keys)):]
	}
}

// compare returns the keys that the listing has newer and the documents that
// it lacks or has older.
func compareListing(s *record.Snapshot, l *portage.Listing) (wanted []string, surplus []*record.Document) {
	buckets := make(map[int]bool, len(l.Buckets))
	for _, b := range l.Buckets {
		buckets[b] = true
	}
	theirs := make(map[string]portage.Version, len(l.Versions))
	for _, v := range l.Versions {
		theirs[v.Key] = v
		if d := s.Document(v.Key); d == nil || d.OlderThan(v.Revision, v.Digest) {
			wanted = append(wanted, v.Key)
		}
	}
	for _, d := range s.InBuckets(buckets) {
		v, ok := theirs[d.Key()]
		if !ok || d.NewerThan(v.Revision, v.Digest) {
			surplus = append(surplus, d)
		}
	}
	return wanted, surplus
}

// published returns the documents that fit into one message, at least one.
func fitMessage(documents []*record.Document) []portage.RawDocument {
	var out []portage.RawDocument
	size := 0
	for _, d := range documents {
		size += len(d.Key()) + len(d.Body())
		if size > maxMessageBytes && len(out) > 0 {
			break
		}
		out = append(out, portage.RawDocument{Key: d.Key(), Body: d.Body()})
	}
	return out
}

// push sends new documents on as they come into force.
func (s *replicator) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-s.pending:
			documents := s.takePending(d)
			for _, m := range s.currentFleet().PushTargets(rand.IntN) {
				s.pushTo(ctx, m, documents)
			}
		}
	}
}

// drain collects the documents that are waiting already.
func (s *replicator) takePending(first *record.Document) []*record.Document {
	out := []*record.Document{first}
	for {
		select {
		case d := <-s.pending:
			out = append(out, d)
		default:
			return out
		}
	}
}

func (s *replicator) pushTo(ctx context.Context, m registry.Member, documents []*record.Document) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	link, err := s.peers.get(m.VM, m.Address).connect(ctx)
	if err != nil {
		return
	}
	_ = link.Notify(ctx, &portage.Push{Documents: fitMessage(documents)})
}

// listing answers an Exchange.
func (s *replicator) handleExchange(q *portage.Exchange) *portage.Listing {
	var theirs record.Summary
	if copy(theirs[:], q.Summary) < len(theirs) {
		return &portage.Listing{}
	}
	now := s.store.Snapshot()
	buckets := now.DifferingBuckets(theirs)
	out := &portage.Listing{}
	for b := range buckets {
		out.Buckets = append(out.Buckets, b)
	}
	for _, d := range now.InBuckets(buckets) {
		digest := d.Digest()
		out.Versions = append(out.Versions, portage.Version{
			Key:      d.Key(),
			Revision: d.Revision(),
			Digest:   digest[:],
		})
	}
	return out
}

// documents answers a Fetch.
func (s *replicator) handleFetch(q *portage.Fetch) *portage.Documents {
	now := s.store.Snapshot()
	var found []*record.Document
	for _, key := range q.Keys {
		if d := now.Document(key); d != nil {
			found = append(found, d)
		}
	}
	return &portage.Documents{Documents: fitMessage(found)}
}
