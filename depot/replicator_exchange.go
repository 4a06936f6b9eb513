package depot

import (
	"context"
	"math/rand/v2"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
)

func (r *replicator) exchangeLoop(ctx context.Context) error {
	ring := false
	return r.guard.loop(ctx, "exchange", func() {
		clock.Sleep(ctx, r.schedule.ExchangeDelay().Duration())
		if ctx.Err() != nil {
			return
		}
		if ring = !ring; ring {
			r.exchangeWithSuccessor(ctx)
		} else if m, ok := r.currentFleet().ExchangePeer(rand.IntN); ok {
			r.exchangeWith(ctx, m)
		}
	})
}

// exchangeWithSuccessor exchanges documents with the nearest successor in the
// ring that answers.
func (r *replicator) exchangeWithSuccessor(ctx context.Context) {
	for _, m := range r.currentFleet().Successors() {
		if ctx.Err() != nil || r.exchangeWith(ctx, m) {
			return
		}
	}
}

// exchangeWith compares summaries with a member, pushes the documents that the
// member lacks and fetches those that this node lacks. It reports whether the
// member answered.
func (r *replicator) exchangeWith(ctx context.Context, m registry.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	link, err := r.peers.get(m.VM, m.Address).connect(ctx)
	if err != nil {
		return false
	}
	summary := r.store.Snapshot().Summary()
	response, err := link.Do(ctx, &portage.Exchange{Summary: summary[:]})
	listing, ok := response.(*portage.Listing)
	if err != nil || !ok {
		return false
	}
	r.lastExchange.Store(int64(r.clock.Now()))
	if len(listing.Buckets) == 0 {
		return true
	}
	wanted, surplus := compareListing(r.store.Snapshot(), listing)
	if len(surplus) > 0 {
		_ = link.Notify(ctx, &portage.Push{Documents: fitMessage(surplus)})
	}
	r.fetch(ctx, link, m, wanted)
	return true
}

func (r *replicator) fetch(ctx context.Context, link *portage.Link, m registry.Member, keys []string) {
	for len(keys) > 0 {
		response, err := link.Do(ctx, &portage.Fetch{Keys: keys})
		documents, ok := response.(*portage.Documents)
		if err != nil || !ok || len(documents.Documents) == 0 {
			return
		}
		r.mergeFromPeer(m.VM, documents.Documents)
		keys = keys[min(len(documents.Documents), len(keys)):]
	}
}

// compareListing returns the keys whose documents are newer in the listing, and
// the documents that the listing lacks or has in an older version.
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

// fitMessage returns the first documents that fit into one message, at least
// one if there are any.
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

// handleExchange answers a portage.Exchange.
func (r *replicator) handleExchange(q *portage.Exchange) *portage.Listing {
	var theirs record.Summary
	if copy(theirs[:], q.Summary) < len(theirs) {
		return &portage.Listing{}
	}
	snapshot := r.store.Snapshot()
	buckets := snapshot.DifferingBuckets(theirs)
	out := &portage.Listing{}
	for b := range buckets {
		out.Buckets = append(out.Buckets, b)
	}
	for _, d := range snapshot.InBuckets(buckets) {
		digest := d.Digest()
		out.Versions = append(out.Versions, portage.Version{
			Key:      d.Key(),
			Revision: d.Revision(),
			Digest:   digest[:],
		})
	}
	return out
}

// handleFetch answers a portage.Fetch.
func (r *replicator) handleFetch(q *portage.Fetch) *portage.Documents {
	snapshot := r.store.Snapshot()
	var found []*record.Document
	for _, key := range q.Keys {
		if d := snapshot.Document(key); d != nil {
			found = append(found, d)
		}
	}
	return &portage.Documents{Documents: fitMessage(found)}
}
