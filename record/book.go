package record

import (
	"bytes"
	"sync"
	"sync/atomic"

	"cuminhollow.example/clock"
)

// trailLimit is the number of changes that a Book keeps for audit.
const trailLimit = 1024

// Book holds the documents in force. Readers take a Snapshot without locking;
// each accepted document replaces the snapshot by a copy. Create it with
// NewBook.
type Book struct {
	clock clock.Clock
	trail *Trail
	// mu serialises writers; readers never take it.
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// reported holds the last refusal logged for each key, so that an invalid
	// document that is offered again and again has one entry.
	reported map[string]Digest
}

// NewBook returns an empty book.
func NewBook(c clock.Clock) *Book {
	b := &Book{
		clock:    c,
		trail:    NewTrail(trailLimit),
		reported: make(map[string]Digest),
	}
	b.current.Store(newSnapshot(nil))
	return b
}

// Snapshot returns the documents in force now.
func (b *Book) Snapshot() *Snapshot { return b.current.Load() }

// Trail returns the audit trail of the book.
func (b *Book) Trail() *Trail { return b.trail }

// Body is the text of a document and the key under which it was published.
type Body struct {
	Key  string
	Text []byte
}

// OfferBody is OfferAll for one document.
func (b *Book) OfferBody(key string, text []byte, source string) Change {
	return b.OfferAll([]Body{{Key: key, Text: text}}, source)[0]
}

// OfferAll parses documents and puts each in force unless the book holds one
// that is as new. A document that Parse refuses leaves the one in force
// untouched and is entered in the trail. It returns a change for each body, in
// their order.
func (b *Book) OfferAll(bodies []Body, source string) []Change {
	changes := make([]Change, len(bodies))
	documents := make([]*Document, len(bodies))
	faults := make([]error, len(bodies))
	for i, body := range bodies {
		if b.holds(body) {
			continue
		}
		documents[i], faults[i] = Parse(body.Key, body.Text)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.current.Load().edit()
	for i, body := range bodies {
		switch {
		case faults[i] != nil:
			changes[i] = b.refuse(next, body, source, faults[i])
		case documents[i] == nil:
			changes[i] = Change{At: b.clock.Now(), Key: body.Key, Source: source, Verdict: VerdictSame}
		default:
			changes[i] = b.offer(next, documents[i], source)
		}
	}
	if next.edited {
		b.current.Store(next.snapshot)
	}
	return changes
}

// holds reports whether the text is that of the document in force.
func (b *Book) holds(body Body) bool {
	d := b.Snapshot().Document(body.Key)
	return d != nil && bytes.Equal(d.body, body.Text)
}

func (b *Book) offer(next *edition, d *Document, source string) Change {
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
	change.Verdict, change.Reason = judge(d, old)
	if old == nil || d.newer(old) {
		next.put(d)
	}
	if change.Verdict != VerdictSame && change.Verdict != VerdictOlder {
		b.trail.Add(change)
	}
	return change
}

func judge(d, old *Document) (Verdict, string) {
	switch {
	case old == nil || d.revision > old.revision:
		return VerdictAccepted, ""
	case d.revision < old.revision:
		return VerdictOlder, "a higher revision is in force"
	case d.digest == old.digest:
		return VerdictSame, ""
	case d.newer(old):
		return VerdictConflict, "same revision with other content: this one replaces it by its digest"
	default:
		return VerdictConflict, "same revision with other content: the one in force stays by its digest"
	}
}

func (b *Book) refuse(next *edition, body Body, source string, err error) Change {
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
	if len(b.reported) >= trailLimit {
		clear(b.reported)
	}
	b.reported[body.Key] = digest
	b.trail.Add(change)
	return change
}
