package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cuminhollow.example/depot"
	"cuminhollow.example/record"
	"cuminhollow.example/standin/fleet"
)

// propagationTimeout is the time within which every node must apply a record.
const propagationTimeout = 16 * time.Second

// recordsPlan returns a plan with nodes in up to six zones.
func recordsPlan(vms int) fleet.Plan {
	return fleet.Plan{
		Services: []fleet.Service{{
			Name:        "history",
			Locations:   fleet.SpreadOverZones(vms, "kutch", "panchmahal", "dangs"),
			Slots:       4,
			ServiceTime: time.Millisecond,
		}},
		Records: map[string]string{"read": readRecord(1, 5)},
	}
}

func readRecord(revision, rank int) string {
	return fleet.FormatRecord(revision, fleet.Kind{Name: "read", Service: "history", Rank: rank, TargetTime: time.Second, Idempotent: true})
}

// explainRead returns a node's explanation of kind "read", or the zero value if
// the node does not answer.
func explainRead(f *fleet.Fleet, v *fleet.VM) depot.Explanation {
	var e depot.Explanation
	if err := f.GetReport(v, "/v1/explain?kind=read", &e); err != nil {
		return depot.Explanation{}
	}
	return e
}

// waitForRevision waits until every node has applied the given revision of kind
// "read" with the same digest.
func waitForRevision(t *testing.T, f *fleet.Fleet, revision uint64) {
	t.Helper()
	start := time.Now()
	waitUntil(t, fmt.Sprint("revision ", revision, " at all nodes"), propagationTimeout, func() bool {
		first := explainRead(f, f.VMs[0]).Digest
		for _, v := range f.VMs {
			if e := explainRead(f, v); e.Revision != revision || e.Digest != first {
				return false
			}
		}
		return true
	})
	t.Logf("revision %d at %d nodes after %s", revision, len(f.VMs), time.Since(start))
}

func publish(t *testing.T, f *fleet.Fleet, text string) {
	t.Helper()
	if err := f.Publish("records/read", text); err != nil {
		t.Fatal(err)
	}
}

// TestRecordReachesAll publishes several revisions and checks that each reaches
// every node.
func TestRecordReachesAll(t *testing.T) {
	f := startFleet(t, recordsPlan(12))
	for revision := 2; revision <= 4; revision++ {
		publish(t, f, readRecord(revision, revision))
		waitForRevision(t, f, uint64(revision))
	}
}

// TestPlatformDown restarts half of the nodes while the platform is down and
// checks that they get the newest documents from their peers.
func TestPlatformDown(t *testing.T) {
	f := startFleet(t, recordsPlan(8))
	publish(t, f, readRecord(2, 1))
	waitForRevision(t, f, 2)
	if err := f.SetPlatformMode("down"); err != nil {
		t.Fatal(err)
	}
	for i, v := range f.VMs {
		if i%2 == 0 {
			v.Node.Kill()
			if err := v.Node.Restart(); err != nil {
				t.Fatal(err)
			}
		}
	}
	waitForRevision(t, f, 2)
	waitUntil(t, "all ready", propagationTimeout, func() bool { return f.WaitReady() == nil })
	if r := call(f.VMs[0].CallerAddress, "read", "after"); r.outcome != "answered" {
		t.Errorf("call: got %q (%s), want answered", r.outcome, r.reason)
	}
}

// TestStalePlatform restarts nodes while the platform serves an older copy, and
// checks that no ready node applies the older revision.
func TestStalePlatform(t *testing.T) {
	f := startFleet(t, recordsPlan(6))
	if err := f.SnapshotPlatform(); err != nil {
		t.Fatal(err)
	}
	publish(t, f, readRecord(2, 1))
	waitForRevision(t, f, 2)
	if err := f.SetPlatformMode("stale"); err != nil {
		t.Fatal(err)
	}
	for _, v := range f.VMs[:3] {
		v.Node.Kill()
		if err := v.Node.Restart(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, v.Name+" ready", propagationTimeout, func() bool { return f.Ready(v) })
		if got := explainRead(f, v).Revision; got != 2 {
			t.Errorf("%s: got revision %d once ready, want 2", v.Name, got)
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, v := range f.VMs {
			if got := explainRead(f, v).Revision; got != 2 {
				t.Fatalf("%s: got revision %d, want 2", v.Name, got)
			}
		}
	}
}

// TestRacingEdits publishes two different documents under one revision and checks
// that all nodes agree on one of them.
func TestRacingEdits(t *testing.T) {
	f := startFleet(t, recordsPlan(8))
	for revision := 2; revision <= 4; revision++ {
		publish(t, f, readRecord(revision, 1))
		publish(t, f, readRecord(revision, 2))
		waitForRevision(t, f, uint64(revision))
	}
	// The platform may hold the document that lost the conflict. A restarted
	// node reads that copy first and must still agree with the others.
	for _, v := range f.VMs[:2] {
		v.Node.Kill()
		if err := v.Node.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	waitForRevision(t, f, 4)
}

// TestPausedThroughRevisions suspends a node while ten revisions are published
// and checks that it applies the last one afterwards.
func TestPausedThroughRevisions(t *testing.T) {
	f := startFleet(t, recordsPlan(6))
	f.VMs[1].Node.Pause()
	for revision := 2; revision <= 11; revision++ {
		publish(t, f, readRecord(revision, revision%7))
		time.Sleep(200 * time.Millisecond)
	}
	f.VMs[1].Node.Resume()
	waitForRevision(t, f, 11)
}

// TestBadDocuments publishes invalid records and checks that the last valid one
// stays in force and that the audit log gives the reason. It then checks that
// schema 1 can replace schema 2 and the reverse.
func TestBadDocuments(t *testing.T) {
	f := startFleet(t, recordsPlan(3))
	large := readRecord(3, 1) + "# " + strings.Repeat("x", record.MaxBytes)
	bad := []struct{ text, reason string }{
		{"schema: 9\nrevision: 3\nname: read\n", "schema 9 is not known"},
		{readRecord(3, 99), "rank 99"},
		{large[:record.MaxBytes+1], "more than the limit"},
		{"schema: 2\nrevision: [", "records/read:"},
	}
	for _, b := range bad {
		publish(t, f, b.text)
		waitUntil(t, "rejection in audit log: "+b.reason, propagationTimeout, func() bool {
			var changes []record.Change
			if err := f.GetReport(f.VMs[0], "/v1/audit", &changes); err != nil {
				return false
			}
			last := changes[len(changes)-1]
			return last.Verdict == record.VerdictInvalid && strings.Contains(last.Reason, b.reason)
		})
		if got := explainRead(f, f.VMs[0]); got.Revision != 1 || got.Rank != 5 {
			t.Errorf("after %s: got revision %d, rank %d, want 1 and 5", b.reason, got.Revision, got.Rank)
		}
	}
	publish(t, f, large[:record.MaxBytes])
	waitForRevision(t, f, 3)
	publish(t, f, "schema: 1\nrevision: 4\nname: read\nservice: history\nrank: 3\ntarget_ms: 900\ntries: 1\nidempotent: true\n")
	waitForRevision(t, f, 4)
	publish(t, f, "schema: 2\nrevision: 5\nkind: {name: read}\nretired: true\n")
	waitForRevision(t, f, 5)
	if r := call(f.VMs[0].CallerAddress, "read", "retired"); r.outcome != "not-run" || r.reason != "retired-kind" {
		t.Errorf("retired kind: got %q (%s), want not-run (retired-kind)", r.outcome, r.reason)
	}
}
