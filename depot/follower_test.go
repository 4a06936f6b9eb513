package depot

import (
	"testing"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// startRegion starts two nodes that list each other and returns the reader
// first.
func startRegion(t *testing.T) (reader, follower *fakeAdapter) {
	t.Helper()
	a, first := startFakeAdapter(t, "u-1", "")
	b, second := startFakeAdapter(t, "u-2", "")
	for _, n := range []*fakeAdapter{a, b} {
		n.node.SetRosters([]*record.Roster{record.NewRoster("desk", []record.VM{first, second})})
	}
	if _, hears := a.node.watchers.Next(0); hears {
		a, b = b, a
	}
	return a, b
}

// await fails the test unless a condition comes true.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no %s", what)
		}
	}
}

// TestHearsFromReader has the nodes of a region hear from one that reads: what
// it learns reaches them, and they ask the platform no more.
func TestHearsFromReader(t *testing.T) {
	reader, follower := startRegion(t)
	await(t, "question to the reader", func() bool { return reader.node.copyServer.platformWait() > 0 })
	await(t, "short waits of the reader", func() bool { return reader.reads.Load() > 3 })
	before := follower.reads.Load()
	reader.know("news")
	reader.confirm(reader.node.clock.Now())
	follower.waitKnown(t, "news")
	reader.know("later news")
	follower.waitKnown(t, "later news")
	if got := follower.reads.Load(); got != before {
		t.Errorf("got %d questions of the follower to the platform, want none", got-before)
	}
	if got := follower.Age(); got > maxFollowAge {
		t.Errorf("got an age of %s, want at most %s", got, maxFollowAge)
	}
}

// TestReaderWithoutAnswers has the platform's answers to the reader get lost: the
// node that hears from it asks the platform itself, although the reader answers.
func TestReaderWithoutAnswers(t *testing.T) {
	reader, follower := startRegion(t)
	await(t, "question to the reader", func() bool { return reader.node.copyServer.platformWait() > 0 })
	before := follower.reads.Load()
	reader.answersLost.Store(true)
	await(t, "question to the platform", func() bool { return follower.reads.Load() > before })
	await(t, "answer of the platform", func() bool { return follower.Age() < maxFollowAge })
}

// TestReaderStops stops the reader: it tells those that wait at once, and they ask
// the platform themselves.
func TestReaderStops(t *testing.T) {
	reader, follower := startRegion(t)
	await(t, "question to the reader", func() bool { return reader.node.copyServer.platformWait() > 0 })
	before := follower.reads.Load()
	reader.stop()
	await(t, "question to the platform", func() bool { return follower.reads.Load() > before })
}

// TestStoppingReader asks a node that has begun to stop: it says at once that
// others are to be heard from.
func TestStoppingReader(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	l := &copyServer{source: a, clock: a.node.clock, stopping: make(chan struct{})}
	if l.handleCopy(t.Context(), &portage.CopyRequest{}).Away {
		t.Error("before: got away, want not")
	}
	close(l.stopping)
	if !l.handleCopy(t.Context(), &portage.CopyRequest{WaitMS: int64(followWait)}).Away {
		t.Error("in a stop: got not away, want it")
	}
}

// TestKnownAsOf takes what a reader says for no newer than it was when the
// question left, however long the answer was on its way.
func TestKnownAsOf(t *testing.T) {
	const asked, reached, held, age clock.Millis = 5_000, 300, 700, 40
	right := asked + reached + held - age
	if got := knownAsOf(asked, &portage.CopyResponse{HeldMS: int64(held), AgeMS: int64(age)}); got > right || got < right-reached {
		t.Errorf("got %d, want %d to %d", got, right-reached, right)
	}
}
