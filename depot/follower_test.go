package depot

import (
	"testing"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// startRegion starts two nodes that list each other and returns the watcher
// first.
func startRegion(t *testing.T) (watcher, follower *fakeAdapter) {
	t.Helper()
	a, first := startFakeAdapter(t, "u-1", "")
	b, second := startFakeAdapter(t, "u-2", "")
	for _, n := range []*fakeAdapter{a, b} {
		n.node.SetRosters([]*record.Roster{record.NewRoster("desk", []record.VM{first, second})})
	}
	if _, follows := a.node.watchers.Next(0); follows {
		a, b = b, a
	}
	return a, b
}

// await fails the test unless a condition becomes true within 20 s.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no %s", what)
		}
	}
}

// TestFollowWatcher checks that updates of a watcher reach its follower, which
// stops polling the platform.
func TestFollowWatcher(t *testing.T) {
	watcher, follower := startRegion(t)
	await(t, "request to the watcher", func() bool { return watcher.node.copyServer.platformWait() > 0 })
	await(t, "short waits of the watcher", func() bool { return watcher.polls.Load() > 3 })
	before := follower.polls.Load()
	watcher.setText("news")
	watcher.confirm(watcher.node.clock.Now())
	follower.awaitText(t, "news")
	watcher.setText("later news")
	follower.awaitText(t, "later news")
	if got := follower.polls.Load(); got != before {
		t.Errorf("got %d polls of the platform by the follower, want none", got-before)
	}
	if got := follower.Age(); got > maxFollowAge {
		t.Errorf("got an age of %s, want at most %s", got, maxFollowAge)
	}
}

// TestWatcherWithStaleData loses the platform's answers to the watcher. The
// follower must poll the platform itself although the watcher still answers.
func TestWatcherWithStaleData(t *testing.T) {
	watcher, follower := startRegion(t)
	await(t, "request to the watcher", func() bool { return watcher.node.copyServer.platformWait() > 0 })
	before := follower.polls.Load()
	watcher.answersLost.Store(true)
	await(t, "poll of the platform", func() bool { return follower.polls.Load() > before })
	if got, want := follower.lastWait.Load(), int64(doubtWait); got != want {
		t.Errorf("got a poll that waits %d ms for changes, want %d: the platform may not answer either", got, want)
	}
	await(t, "answer of the platform", func() bool { return follower.Age() < maxFollowAge })
}

// TestWatcherStops stops the watcher: it answers waiting followers immediately,
// and they poll the platform themselves.
func TestWatcherStops(t *testing.T) {
	watcher, follower := startRegion(t)
	await(t, "request to the watcher", func() bool { return watcher.node.copyServer.platformWait() > 0 })
	before := follower.polls.Load()
	watcher.stop()
	await(t, "poll of the platform", func() bool { return follower.polls.Load() > before })
}

// TestStoppingNodeIsUnavailable checks that a node that has begun to stop
// answers a request immediately and reports that it is unavailable.
func TestStoppingNodeIsUnavailable(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	s := &copyServer{source: a, clock: a.node.clock, stopping: make(chan struct{})}
	if s.handleCopy(t.Context(), &portage.CopyRequest{}).Away {
		t.Error("before the stop: got unavailable, want available")
	}
	close(s.stopping)
	if !s.handleCopy(t.Context(), &portage.CopyRequest{WaitMS: int64(followWait)}).Away {
		t.Error("during the stop: got available, want unavailable")
	}
}

// TestConfirmedAsOf checks that the data of a watcher is never dated newer than
// it is, and older at most by the network delay of the request.
func TestConfirmedAsOf(t *testing.T) {
	const sentAt, requestDelay, held, age clock.Millis = 5_000, 300, 700, 40
	exact := sentAt + requestDelay + held - age
	if got := confirmedAsOf(sentAt, &portage.CopyResponse{HeldMS: int64(held), AgeMS: int64(age)}); got > exact || got < exact-requestDelay {
		t.Errorf("got %d, want %d to %d", got, exact-requestDelay, exact)
	}
}
