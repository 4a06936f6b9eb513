package record

import (
	"errors"
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

// OfferBody parses body and offers the document. A body that Parse refuses
// leaves the document in force untouched and is entered in the trail.
func (b *Book) OfferBody(key string, body []byte, source string) Change {
	d, err := Parse(key, body)
	if err != nil {
		return b.refuse(key, body, source, err)
	}
	return b.Offer(d, source)
}

// Offer puts d in force unless the book holds a document that is as new.
func (b *Book) Offer(d *Document, source string) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load().Document(d.key)
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
		b.current.Store(b.current.Load().with(d))
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

func (b *Book) refuse(key string, body []byte, source string, err error) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	change := Change{
		At:      b.clock.Now(),
		Key:     key,
		Source:  source,
		Verdict: VerdictInvalid,
		Reason:  err.Error(),
	}
	if old := b.current.Load().Document(key); old != nil {
		change.From = old.revision
	}
	digest := digestOf(body)
	change.Digest = digest.String()
	if b.reported[key] == digest {
		return change
	}
	if len(b.reported) >= trailLimit {
		clear(b.reported)
	}
	b.reported[key] = digest
	b.trail.Add(change)
	return change
}

// IsSchema reports whether err says that a document has an unknown schema.
func IsSchema(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindSchema
}
