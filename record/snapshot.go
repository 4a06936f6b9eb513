package record

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which a Summary divides the keys.
const Buckets = 64

// Summary holds one hash for each bucket of keys. Two snapshots with the same
// documents have the same summary.
type Summary [Buckets]uint64

// Snapshot is an immutable set of documents.
type Snapshot struct {
	documents map[string]*Document
	// policies and rosters index documents by kind and by service.
	policies map[string]*Document
	rosters  map[string]*Document
	summary  Summary
}

func newSnapshot(documents map[string]*Document) *Snapshot {
	s := &Snapshot{
		documents: documents,
		policies:  make(map[string]*Document),
		rosters:   make(map[string]*Document),
	}
	for _, d := range documents {
		s.index(d)
	}
	return s
}

func (s *Snapshot) index(d *Document) {
	s.summary[Bucket(d.key)] ^= d.fingerprint()
	switch c := d.content.(type) {
	case *Policy:
		s.policies[c.name] = d
	case *Roster:
		s.rosters[c.service] = d
	}
}

// snapshotBuilder creates a changed snapshot from another one. It copies the
// maps at the first change.
type snapshotBuilder struct {
	snapshot *Snapshot
	changed  bool
}

func (s *Snapshot) builder() *snapshotBuilder { return &snapshotBuilder{snapshot: s} }

// put stores d and replaces the document of the same key.
func (b *snapshotBuilder) put(d *Document) {
	if !b.changed {
		b.snapshot = b.snapshot.clone()
		b.changed = true
	}
	s := b.snapshot
	if old := s.documents[d.key]; old != nil {
		s.summary[Bucket(d.key)] ^= old.fingerprint()
	}
	s.documents[d.key] = d
	s.index(d)
}

func (s *Snapshot) clone() *Snapshot {
	n := &Snapshot{
		documents: make(map[string]*Document, len(s.documents)+1),
		policies:  maps.Clone(s.policies),
		rosters:   maps.Clone(s.rosters),
		summary:   s.summary,
	}
	maps.Copy(n.documents, s.documents)
	return n
}

func (d *Document) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(d.key)
	_, _ = h.Write(d.digest[:])
	return h.Sum64()
}

// Bucket returns the bucket of key, 0 to Buckets-1.
func Bucket(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Summary returns the hashes of the buckets.
func (s *Snapshot) Summary() Summary { return s.summary }

// Document returns the document of key, or nil when there is none.
func (s *Snapshot) Document(key string) *Document { return s.documents[key] }

// Policy returns the policy of a kind of work, which may be retired, or nil
// when there is none.
func (s *Snapshot) Policy(kind string) *Policy {
	d := s.policies[kind]
	if d == nil {
		return nil
	}
	return d.content.(*Policy)
}

// HasPolicies reports whether there is a policy for any kind of work.
func (s *Snapshot) HasPolicies() bool { return len(s.policies) > 0 }

// Roster returns the roster of service, or nil when there is none.
func (s *Snapshot) Roster(service string) *Roster {
	d := s.rosters[service]
	if d == nil {
		return nil
	}
	return d.content.(*Roster)
}

// Services returns the services that have a roster, sorted.
func (s *Snapshot) Services() []string {
	return slices.Sorted(maps.Keys(s.rosters))
}

// Keys returns the keys of all documents, sorted.
func (s *Snapshot) Keys() []string {
	return slices.Sorted(maps.Keys(s.documents))
}

// InBuckets returns the documents whose keys are in the given buckets.
func (s *Snapshot) InBuckets(buckets map[int]bool) []*Document {
	var out []*Document
	for key, d := range s.documents {
		if buckets[Bucket(key)] {
			out = append(out, d)
		}
	}
	return out
}

// DifferingBuckets returns the buckets in which s and other differ.
func (s *Snapshot) DifferingBuckets(other Summary) map[int]bool {
	out := make(map[int]bool)
	for i, h := range s.summary {
		if h != other[i] {
			out[i] = true
		}
	}
	return out
}
