package record

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// MaxBytes is the maximum size of a document, in bytes. The platform stores
// values of up to one megabyte.
const MaxBytes = 1 << 20

// Digest identifies the content of a document.
type Digest [sha256.Size]byte

// String returns the first eight bytes in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:8])
}

// Document is a validated document. It is immutable.
type Document struct {
	// key is the key on the platform, such as "records/seal".
	key string
	// revision is at least 1.
	revision uint64
	digest   Digest
	body     []byte
	content  Content
}

// Key returns the key under which the platform publishes the document.
func (d *Document) Key() string { return d.key }

// Revision returns the revision written in the document.
func (d *Document) Revision() uint64 { return d.revision }

// Digest returns the digest of the body.
func (d *Document) Digest() Digest { return d.digest }

// Body returns the text of the document. The caller must not change it.
func (d *Document) Body() []byte { return d.body }

// Content returns the parsed content.
func (d *Document) Content() Content { return d.content }

// Content is the parsed content of a document: a *Policy or a *Roster.
type Content interface {
	isContent()
}

// replaces reports whether d replaces old: it has a higher revision, or the
// same revision and a higher digest. The digest makes every node choose the
// same document, in whatever order two of the same revision arrive.
func (d *Document) replaces(old *Document) bool {
	return d.NewerThan(old.revision, old.digest[:])
}

// NewerThan reports whether d replaces a document of the given revision and
// digest.
func (d *Document) NewerThan(revision uint64, digest []byte) bool {
	if d.revision != revision {
		return d.revision > revision
	}
	return bytes.Compare(d.digest[:], digest) > 0
}

// OlderThan reports whether a document of the given revision and digest
// replaces d.
func (d *Document) OlderThan(revision uint64, digest []byte) bool {
	if d.revision != revision {
		return d.revision < revision
	}
	return bytes.Compare(d.digest[:], digest) < 0
}

func digestOf(body []byte) Digest { return sha256.Sum256(body) }
