package record

import (
	"bytes"
	"sync"
	"sync/atomic"

	"cuminhollow.example/clock"
)

// trailLimit is the number of changes that a Book keeps for audit.
const auditLogLimit = 1024

// Book holds the documents in force. Readers take a Snapshot without locking;
// each accepted document replaces the snapshot by a copy. Create it with
// NewBook.
type Store struct {
	clock    clock.Clock
	auditLog *AuditLog
	// mu serialises writers; readers never take it.
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// reported holds the last refusal logged for each key, so that an invalid
	// document that is offered again and again has one entry.
	reported map[string]Digest
}

// NewBook returns an empty book.
func NewStore(c clock.Clock) *Store {
	b := &Store{
		clock:    c,
		auditLog: NewAuditLog(auditLogLimit),
		reported: make(map[string]Digest),
	}
	b.current.Store(newSnapshot(nil))
	return b
}

// Snapshot returns the documents in force now.
func (b *Store) Snapshot() *Snapshot { return b.current.Load() }

// Trail returns the audit trail of the book.
func (b *Store) AuditLog() *AuditLog { return b.auditLog }

// Body is the text of a document and the key under which it was published.
type RawDocument struct {
	Key  string
	Text []byte
}

// OfferBody is OfferAll for one document.
func (b *Store) Offer(key string, text []byte, source string) Change {
	return b.OfferAll([]RawDocument{{Key: key, Text: text}}, source)[0]
}

// OfferAll parses documents and puts each in force unless the book holds one
// that is as new. A document that Parse refuses leaves the one in force
// untouched and is entered in the trail. It returns a change for each body, in
// their order.
func (b *Store) OfferAll(bodies []RawDocument, source string) []Change {
	changes := make([]Change, len(bodies))
	documents := make([]*Document, len(bodies))
	faults := make([]error, len(bodies))
	for i, body := range bodies {
		if b.isCurrent(body) {
			continue
		}
		documents[i], faults[i] = Parse(body.Key, body.Text)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.current.Load().builder()
	for i, body := range bodies {
		switch {
		case faults[i] != nil:
			changes[i] = b.reject(next, body, source, faults[i])
		case documents[i] == nil:
			changes[i] = Change{At: b.clock.Now(), Key: body.Key, Source: source, Verdict: VerdictSame}
		default:
			changes[i] = b.apply(next, documents[i], source)
		}
	}
	if next.changed {
		b.current.Store(next.snapshot)
	}
	return changes
}

// holds reports whether the text is that of the document in force.
func (b *Store) isCurrent(body RawDocument) bool {
	d := b.Snapshot().Document(body.Key)
	return d != nil && bytes.Equal(d.body, body.Text)
}

func (b *Store) apply(next *snapshotBuilder, d *Document, source string) Change {
	old := next.snapshot.Document(d.key)
	change := Change{
		At:     b.clock.Now(),
		Key:    d.key,
		To:     d.revision,
		Digest: d.digest.String(),
		Source: source,
	}
	if old != nil {
		change.From = old.revision
	}
	change.Verdict, change.Reason = compareRevisions(d, old)
	if old == nil || d.replaces(old) {
		next.put(d)
	}
	if change.Verdict != VerdictSame && change.Verdict != VerdictOlder {
		b.auditLog.Add(change)
	}
	return change
}

func compareRevisions(d, old *Document) (Verdict, string) {
	switch {
	case old == nil || d.revision > old.revision:
		return VerdictAccepted, ""
	case d.revision < old.revision:
		return VerdictOlder, "a higher revision is in force"
	case d.digest == old.digest:
		return VerdictSame, ""
	case d.replaces(old):
		return VerdictConflict, "same revision with other content: this one replaces it by its digest"
	default:
		return VerdictConflict, "same revision with other content: the one in force stays by its digest"
	}
}

func (b *Store) reject(next *snapshotBuilder, body RawDocument, source string, err error) Change {
	digest := digestOf(body.Text)
	change := Change{
		At:      b.clock.Now(),
		Key:     body.Key,
		Digest:  digest.String(),
		Source:  source,
		Verdict: VerdictInvalid,
		Reason:  err.Error(),
	}
	if old := next.snapshot.Document(body.Key); old != nil {
		change.From = old.revision
	}
	if b.reported[body.Key] == digest {
		return change
	}
	if len(b.reported) >= auditLogLimit {
		clear(b.reported)
	}
	b.reported[body.Key] = digest
	b.auditLog.Add(change)
	return change
}
