package record

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cuminhollow.example/clock"
)

func policyBody(revision, rank int) []byte {
	return fmt.Appendf(nil, "schema: 1\nrevision: %d\nname: seal\nservice: sealing\nrank: %d\ntarget_ms: 10\ntries: 1\n", revision, rank)
}

// TestStoreNeverReverts offers valid and invalid documents in random order. The
// current revision must never fall, and two stores that get the same documents
// in different orders must have the same content.
func TestStoreNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c clock.Manual
		a, b := NewStore(&c), NewStore(&c)
		var offered [][]byte
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			revision := rapid.IntRange(0, 6).Draw(t, "revision")
			rank := rapid.IntRange(0, 9).Draw(t, "rank")
			offered = append(offered, policyBody(revision, rank))
		}
		last := uint64(0)
		for _, body := range offered {
			a.Offer("records/seal", body, "a")
			current := uint64(0)
			if d := a.Snapshot().Document("records/seal"); d != nil {
				current = d.Revision()
			}
			if current < last {
				t.Fatalf("current revision: got %d after %d, want no lower one", current, last)
			}
			last = current
		}
		for _, body := range rapid.Permutation(offered).Draw(t, "order") {
			b.Offer("records/seal", body, "b")
		}
		if got, want := b.Snapshot().Summary(), a.Snapshot().Summary(); got != want {
			t.Fatalf("other order: got summary %v, want %v", got, want)
		}
	})
}

// TestStoreAudit checks the verdicts and the audit log of a sequence of offers.
func TestStoreAudit(t *testing.T) {
	offers := []struct {
		revision, rank int
		want           Verdict
		current        uint64
	}{
		{2, 1, VerdictAccepted, 2},
		{2, 1, VerdictSame, 2},
		{1, 1, VerdictOlder, 2},
		{2, 5, VerdictConflict, 2},
		{3, 9, VerdictInvalid, 2},
		{3, 9, VerdictInvalid, 2},
		{3, 1, VerdictAccepted, 3},
	}
	var c clock.Manual
	store := NewStore(&c)
	for i, o := range offers {
		c.Advance(10)
		got := store.Offer("records/seal", policyBody(o.revision, o.rank), "platform")
		if got.Verdict != o.want {
			t.Errorf("offer %d: got %s, want %s", i, got.Verdict, o.want)
		}
		if rev := store.Snapshot().Document("records/seal").Revision(); rev != o.current {
			t.Errorf("offer %d: got current revision %d, want %d", i, rev, o.current)
		}
	}
	var verdicts []Verdict
	for _, c := range store.AuditLog().Changes() {
		verdicts = append(verdicts, c.Verdict)
	}
	want := []Verdict{VerdictAccepted, VerdictConflict, VerdictInvalid, VerdictAccepted}
	if fmt.Sprint(verdicts) != fmt.Sprint(want) {
		t.Errorf("audit log: got %v, want %v", verdicts, want)
	}
}

func TestAuditLogIsBounded(t *testing.T) {
	auditLog := NewAuditLog(3)
	for i := range 10 {
		auditLog.Add(Change{To: uint64(i)})
	}
	changes := auditLog.Changes()
	if len(changes) != 3 || changes[0].To != 7 || changes[2].To != 9 {
		t.Errorf("audit log: got %+v, want the changes 7 to 9", changes)
	}
}

// BenchmarkOffer measures one change in a store of 8,000 documents.
func BenchmarkOffer(b *testing.B) {
	var c clock.Manual
	store := NewStore(&c)
	documents := make(map[string]*Document)
	for i := range 8000 {
		key := fmt.Sprint("records/k", i)
		body := fmt.Appendf(nil, "schema: 1\nrevision: 1\nname: k%d\nservice: s\ntarget_ms: 1\ntries: 1\n", i)
		d, err := Parse(key, body)
		if err != nil {
			b.Fatal(err)
		}
		documents[key] = d
	}
	store.current.Store(newSnapshot(documents))
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		store.Offer("records/seal", policyBody(n+1, 1), "platform")
	}
}
