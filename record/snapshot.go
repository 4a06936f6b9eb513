package record

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts into which a summary divides the keys.
const Buckets = 64

// Summary has one hash for each bucket of keys. Two snapshots with the same
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

// with returns a copy of s in which d replaces the document of its key.
func (s *Snapshot) with(d *Document) *Snapshot {
	n := &Snapshot{
		documents: maps.Clone(s.documents),
		policies:  s.policies,
		rosters:   s.rosters,
		summary:   s.summary,
	}
	if n.documents == nil {
		n.documents = make(map[string]*Document)
	}
	switch d.content.(type) {
	case *Policy:
		n.policies = maps.Clone(s.policies)
	case *Roster:
		n.rosters = maps.Clone(s.rosters)
	}
	if old := s.documents[d.key]; old != nil {
		n.summary[Bucket(d.key)] ^= old.fingerprint()
	}
	n.documents[d.key] = d
	n.index(d)
	return n
}

func (d *Document) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(d.key)
	_, _ = h.Write(d.digest[:])
	return h.Sum64()
}

// Bucket returns the bucket of key, below Buckets.
func Bucket(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Summary returns the hashes of the buckets.
func (s *Snapshot) Summary() Summary { return s.summary }

// Document returns the document of key, or nil.
func (s *Snapshot) Document(key string) *Document { return s.documents[key] }

// Policy returns the policy of a kind of work, or nil when there is none.
// A retired policy is returned too.
func (s *Snapshot) Policy(kind string) *Policy {
	d := s.policies[kind]
	if d == nil {
		return nil
	}
	return d.content.(*Policy)
}

// Roster returns the VMs of service, or nil.
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

// InBuckets returns the documents whose keys fall in the named buckets.
func (s *Snapshot) InBuckets(buckets map[int]bool) []*Document {
	var out []*Document
	for key, d := range s.documents {
		if buckets[Bucket(key)] {
			out = append(out, d)
		}
	}
	return out
}

// Differing returns the buckets in which s and other differ.
func (s *Snapshot) Differing(other Summary) map[int]bool {
	out := make(map[int]bool)
	for i, h := range s.summary {
		if h != other[i] {
			out[i] = true
		}
	}
	return out
}
