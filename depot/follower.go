package depot

import (
	"context"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
	"cuminhollow.example/registry"
	"github.com/rs/zerolog"
)

const (
	// followWait is how long a watcher may hold a request open, and followTimeout
	// how long the follower waits for the answer, in milliseconds.
	followWait    clock.Millis = clock.Second
	followTimeout clock.Millis = 1200
	// maxFollowAge is the maximum age of a watcher's data, in milliseconds. When
	// the data is older, the follower polls the platform itself.
	maxFollowAge clock.Millis = 1300
	// watcherWait is how long a poll of the platform waits for changes while other
	// nodes follow this one, in milliseconds. It is short because their data is as
	// old as the last answer of the platform to this node.
	watcherWait clock.Millis = 900
	// followerExpiry is how long after the last request of another node this node
	// counts as followed, in milliseconds.
	followerExpiry clock.Millis = 3 * clock.Second
	// doubtWait is how long a poll of the platform waits for changes when a watcher has
	// not answered or has out of date data, in milliseconds. It is short because the
	// platform itself may not answer either, which shows only after the wait.
	doubtWait clock.Millis = 200
)

// follower keeps the node's routes and VMs up to date. It receives updates from
// a watcher of its region. It polls the platform itself if the node is a
// watcher, and immediately when its watcher does not answer or has had no
// answer of the platform for maxFollowAge. Followers therefore apply updates
// only slightly later than watchers.
type follower struct {
	source     Source
	sink       Sink
	clock      clock.Clock
	watchers   *registry.Watchers
	peers      *peers
	copyServer *copyServer
	log        zerolog.Logger
	guard      *guard
	// current is the name of the VM whose node was followed last; empty for the
	// platform itself.
	current string
}

// run updates the node until ctx ends.
func (f *follower) run(ctx context.Context) error {
	return f.guard.loop(ctx, "follower", func() { f.update(ctx) })
}

// update receives updates once, from a watcher or from the platform.
func (f *follower) update(ctx context.Context) {
	wait := f.copyServer.platformWait()
	if m, ok := f.nextWatcher(); ok {
		f.switchTo(m.VM)
		if f.followWatcher(ctx, m) {
			return
		}
		f.watchers.Exclude(f.clock.Now(), m)
		wait = doubtWait
	}
	f.switchTo("")
	f.source.Poll(ctx, f.sink, wait)
}

// nextWatcher returns the node to follow; false if the platform must be polled.
func (f *follower) nextWatcher() (registry.Member, bool) {
	if f.source.MustPoll() {
		return registry.Member{}, false
	}
	return f.watchers.Next(f.clock.Now())
}

// switchTo records which node is followed, and logs a change.
func (f *follower) switchTo(watcher string) {
	if watcher != f.current {
		f.log.Info().Str("event", "hears-from").Str("reader", watcher).Str("before", f.current).
			Int64("age_ms", int64(f.source.Age())).Send()
		f.current = watcher
	}
}

// followWatcher requests new data from a watcher and reports whether it was
// applied and is recent enough to replace a poll of the platform.
func (f *follower) followWatcher(ctx context.Context, m registry.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout.Duration())
	defer cancel()
	link, err := f.peers.get(m.VM, m.Address).connect(ctx)
	if err != nil {
		f.log.Debug().Str("event", "reader-unreachable").Str("reader", m.VM).Err(err).Send()
		return false
	}
	if after := f.source.CopyAfter(); after > 0 {
		applied := f.requestCopy(ctx, m, link, after)
		if applied || f.source.CopyAfter() > 0 {
			return applied
		}
	}
	return f.requestCopy(ctx, m, link, 0)
}

// requestCopy requests what a watcher has after a revision and reports whether it was
// applied and is recent.
func (f *follower) requestCopy(ctx context.Context, m registry.Member, link *portage.Link, after uint64) bool {
	began := f.clock.Now()
	r, err := link.Do(ctx, &portage.CopyRequest{After: after, WaitMS: int64(followWait)})
	c, ok := r.(*portage.CopyResponse)
	if err != nil || !ok {
		f.log.Debug().Str("event", "reader-silent").Str("reader", m.VM).Err(err).Send()
		return false
	}
	asOf := confirmedAsOf(began, c)
	if c.Away || f.clock.Now()-asOf > maxFollowAge {
		return false
	}
	if err := f.source.Adopt(f.sink, copyOf(c), asOf); err != nil {
		f.log.Warn().Str("event", "copy-refused").Str("vm", m.VM).Uint64("revision", c.Revision).Err(err).Send()
		return false
	}
	return true
}

// confirmedAsOf returns the time on the node's clock at which the data of an
// answer was confirmed; sentAt is when the request was sent. It is a lower
// bound: the network delay of the request is counted as age, and that of the
// answer does not matter.
func confirmedAsOf(sentAt clock.Millis, c *portage.CopyResponse) clock.Millis {
	return sentAt + clock.Millis(c.HeldMS) - clock.Millis(c.AgeMS)
}

func copyOf(c *portage.CopyResponse) Copy {
	return Copy{Revision: c.Revision, Whole: c.Whole, Text: c.Text}
}
