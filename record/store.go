package record

import (
	"bytes"
	"sync"
	"sync/atomic"

	"cuminhollow.example/clock"
)

// auditLogLimit is the maximum number of changes in the audit log of a Store.
const auditLogLimit = 1024

// Store holds the current documents. Readers take a Snapshot without locking.
// Writers replace the snapshot with a changed copy. Create it with NewStore.
type Store struct {
	clock    clock.Clock
	auditLog *AuditLog
	// mu serialises writers; readers never take it.
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// reported holds the digest of the last invalid document logged for each key.
	// An invalid document that is offered repeatedly is logged once.
	reported map[string]Digest
}

// NewStore returns an empty store.
func NewStore(c clock.Clock) *Store {
	s := &Store{
		clock:    c,
		auditLog: NewAuditLog(auditLogLimit),
		reported: make(map[string]Digest),
	}
	s.current.Store(newSnapshot(nil))
	return s
}

// Snapshot returns the current documents.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// AuditLog returns the audit log of the store.
func (s *Store) AuditLog() *AuditLog { return s.auditLog }

// RawDocument is the unparsed text of a document and the key under which it was
// published.
type RawDocument struct {
	Key  string
	Body []byte
}

// Offer is OfferAll for one document.
func (s *Store) Offer(key string, body []byte, source string) Change {
	return s.OfferAll([]RawDocument{{Key: key, Body: body}}, source)[0]
}

// OfferAll parses documents and stores each one that is newer than the current
// document of its key. A document that Parse rejects does not replace the
// current one and is added to the audit log. It returns one change for each
// element of offered, in the same order.
func (s *Store) OfferAll(offered []RawDocument, source string) []Change {
	changes := make([]Change, len(offered))
	documents := make([]*Document, len(offered))
	parseErrs := make([]error, len(offered))
	for i, raw := range offered {
		if s.isCurrent(raw) {
			continue
		}
		documents[i], parseErrs[i] = Parse(raw.Key, raw.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.current.Load().builder()
	for i, raw := range offered {
		switch {
		case parseErrs[i] != nil:
			changes[i] = s.reject(next, raw, source, parseErrs[i])
		case documents[i] == nil:
			changes[i] = Change{At: s.clock.Now(), Key: raw.Key, Source: source, Verdict: VerdictSame}
		default:
			changes[i] = s.apply(next, documents[i], source)
		}
	}
	if next.changed {
		s.current.Store(next.snapshot)
	}
	return changes
}

// isCurrent reports whether the text is that of the current document.
func (s *Store) isCurrent(raw RawDocument) bool {
	d := s.Snapshot().Document(raw.Key)
	return d != nil && bytes.Equal(d.body, raw.Body)
}

func (s *Store) apply(next *snapshotBuilder, d *Document, source string) Change {
	old := next.snapshot.Document(d.key)
	change := Change{
		At:     s.clock.Now(),
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
		s.auditLog.Add(change)
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

func (s *Store) reject(next *snapshotBuilder, raw RawDocument, source string, err error) Change {
	digest := digestOf(raw.Body)
	change := Change{
		At:      s.clock.Now(),
		Key:     raw.Key,
		Digest:  digest.String(),
		Source:  source,
		Verdict: VerdictInvalid,
		Reason:  err.Error(),
	}
	if old := next.snapshot.Document(raw.Key); old != nil {
		change.From = old.revision
	}
	if s.reported[raw.Key] == digest {
		return change
	}
	if len(s.reported) >= auditLogLimit {
		clear(s.reported)
	}
	s.reported[raw.Key] = digest
	s.auditLog.Add(change)
	return change
}
