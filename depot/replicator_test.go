package depot

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

func newTestReplicator() *replicator {
	c := clock.NewSystem()
	router := dispatch.NewRouter("self", dispatch.Locality{Region: "kutch", Zone: "kutch-a"})
	return &replicator{
		self:    "self",
		zone:    "kutch-a",
		clock:   c,
		store:   record.NewStore(c),
		router:  router,
		peers:   newPeers(c, portage.Hello{}, router, nil),
		log:     zerolog.Nop(),
		pending: make(chan *record.Document, pendingQueueSize),
	}
}

// TestConcurrentRosters merges the revisions of a roster from several
// goroutines at the same time: the router must end with the newest.
func TestConcurrentRosters(t *testing.T) {
	const rounds, revisions = 2000, 8
	for range rounds {
		r := newTestReplicator()
		var wg sync.WaitGroup
		for n := 1; n <= revisions; n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				text := fmt.Sprintf("schema: 1\nrevision: %d\nservice: s\nvms:\n  - {name: vm, region: r, zone: z, address: \"h:%d\", state: live}\n", n, n)
				r.merge("peer", record.RawDocument{Key: "vms/s", Body: []byte(text)})
			}()
		}
		wg.Wait()
		got, _ := r.router.Address("s", "vm")
		if want := fmt.Sprint("h:", revisions); got != want {
			t.Fatalf("address: got %q, want %q of the newest roster", got, want)
		}
	}
}

// TestMergeReturnsAfterApply merges a roster that another goroutine is merging
// at the same time. When merge returns, the router must know the VMs, since a
// starting node serves from then on.
func TestMergeReturnsAfterApply(t *testing.T) {
	r := newTestReplicator()
	document := record.RawDocument{Key: "vms/s", Body: []byte("schema: 1\nrevision: 1\nservice: s\nvms:\n  - {name: vm, region: r, zone: z, address: \"h:1\", state: live}\n")}
	// While the lock is held, no roster reaches the router.
	r.applyMu.Lock()
	mergedFirst, mergedSecond := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(mergedFirst)
		r.merge("peer", document)
	}()
	for end := time.Now().Add(100 * time.Millisecond); r.store.Snapshot().Document("vms/s") == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	go func() {
		defer close(mergedSecond)
		r.merge(sourcePlatform, document)
	}()
	select {
	case <-mergedSecond:
		if _, ok := r.router.Address("s", "vm"); !ok {
			t.Error("merge returned before the router knew the VM")
		}
	case <-time.After(50 * time.Millisecond):
	}
	r.applyMu.Unlock()
	<-mergedFirst
	<-mergedSecond
	if _, ok := r.router.Address("s", "vm"); !ok {
		t.Error("after both merges: the router does not know the VM")
	}
}

// TestCompareDocuments compares listings of a peer with the current documents.
func TestCompareDocuments(t *testing.T) {
	r := newTestReplicator()
	for _, key := range []string{"read", "seal"} {
		r.merge("platform", record.RawDocument{Key: "records/" + key, Body: fmt.Appendf(nil,
			"schema: 1\nrevision: 5\nname: %s\nservice: s\ntarget_ms: 1\ntries: 1\n", key)})
	}
	snapshot := r.store.Snapshot()
	read := snapshot.Document("records/read")
	digest := read.Digest()
	buckets := []int{record.Bucket("records/read"), record.Bucket("records/seal"), record.Bucket("records/lot")}
	tests := []struct {
		name            string
		versions        []portage.Version
		wanted, surplus int
	}{
		{"nothing listed", nil, 0, 2},
		{"same", []portage.Version{{Key: "records/read", Revision: 5, Digest: digest[:]}}, 0, 1},
		{"newer there", []portage.Version{{Key: "records/read", Revision: 6}}, 1, 1},
		{"older there", []portage.Version{{Key: "records/read", Revision: 4}}, 0, 2},
		{"unknown here", []portage.Version{{Key: "records/lot", Revision: 1}}, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wanted, surplus := compareListing(snapshot, &portage.Listing{Buckets: buckets, Versions: tt.versions})
			if len(wanted) != tt.wanted || len(surplus) != tt.surplus {
				t.Errorf("got %d wanted and %d surplus, want %d and %d", len(wanted), len(surplus), tt.wanted, tt.surplus)
			}
		})
	}
}

// TestCatchUp lets a node that has an older record than its peer catch up, as at
// the end of its start.
func TestCatchUp(t *testing.T) {
	cluster := startCluster(t, echoUpstream)
	newer := strings.Replace(readRecord, "revision: 1", "revision: 9", 1)
	cluster.entry.replicator.merge("test", record.RawDocument{Key: "records/read", Body: []byte(newer)})
	cluster.owner.replicator.catchUp(t.Context())
	if got := cluster.owner.Revision("read"); got != 9 {
		t.Errorf("got revision %d, want 9", got)
	}
}
