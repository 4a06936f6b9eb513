package depot

import (
	"context"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
	"cuminhollow.example/registry"
	"github.com/rs/zerolog"
)

const (
	// hearWait is how long a reader may hold a question, and hearTimeout how long
	// its answer is waited for, in milliseconds.
	followWait    clock.Millis = clock.Second
	followTimeout clock.Millis = 1200
	// hearAge is the age of what a reader knows beyond which the platform is asked
	// itself, in milliseconds.
	maxFollowAge clock.Millis = 1300
	// readerWait is how long a node waits for changes at the platform while others
	// hear from it: their knowledge is as old as its last answer, in milliseconds.
	watcherWait clock.Millis = 900
	// lentSpan is how long after a question a node counts as heard from, in
	// milliseconds.
	followerExpiry clock.Millis = 3 * clock.Second
)

// follower keeps up to date what the node knows of routes and VMs. It hears from
// a reader of its region, or asks the platform itself: when it is a reader, and at
// once when its reader is silent or was not told anything for hearAge. What is
// heard is therefore in force hardly later than what is read.
type follower struct {
	source     Source
	sink       Sink
	clock      clock.Clock
	watchers   *registry.Watchers
	peers      *peers
	copyServer *copyServer
	log        zerolog.Logger
	// from is the reader heard from last; empty for the platform itself.
	current string
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m, ok := f.nextWatcher(); ok {
			f.switchTo(m.VM)
			if f.followWatcher(ctx, m) {
				continue
			}
			f.watchers.Exclude(f.clock.Now(), m)
		}
		f.switchTo("")
		f.source.Poll(ctx, f.sink, f.copyServer.platformWait())
	}
	return nil
}

// reader returns the node to hear from; false when the platform is to be asked.
func (f *follower) nextWatcher() (registry.Member, bool) {
	if f.source.MustPoll() {
		return registry.Member{}, false
	}
	return f.watchers.Next(f.clock.Now())
}

// turnTo notes from whom the node hears, and logs a change.
func (f *follower) switchTo(from string) {
	if from != f.current {
		f.log.Info().Str("event", "hears-from").Str("reader", from).Str("before", f.current).
			Int64("age_ms", int64(f.source.Age())).Send()
		f.current = from
	}
}

// hear asks a reader for what is new and reports whether that is as good as the
// platform's own answer.
func (f *follower) followWatcher(ctx context.Context, m registry.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout.Duration())
	defer cancel()
	link, err := f.peers.get(m.VM, m.Address).connect(ctx)
	if err != nil {
		f.log.Debug().Str("event", "reader-unreachable").Str("reader", m.VM).Err(err).Send()
		return false
	}
	began := f.clock.Now()
	r, err := link.Do(ctx, &portage.CopyRequest{After: f.source.Revision(), WaitMS: int64(followWait)})
	c, ok := r.(*portage.CopyResponse)
	if err != nil || !ok {
		f.log.Debug().Str("event", "reader-silent").Str("reader", m.VM).Err(err).Send()
		return false
	}
	asOf := knownAsOf(began, c)
	if c.Away || f.clock.Now()-asOf > maxFollowAge {
		return false
	}
	if err := f.source.Adopt(f.sink, copyOf(c), asOf); err != nil {
		f.log.Warn().Str("event", "copy-refused").Str("vm", m.VM).Uint64("revision", c.Revision).Err(err).Send()
		return false
	}
	return true
}

// knownAsOf returns the time on the node's clock as of which an answer to a
// question of another time is right. It is a lower bound, however long messages
// were on their way.
func knownAsOf(asked clock.Millis, c *portage.CopyResponse) clock.Millis {
	return asked + clock.Millis(c.HeldMS) - clock.Millis(c.AgeMS)
}

func copyOf(c *portage.CopyResponse) Copy {
	return Copy{Revision: c.Revision, Whole: c.Whole, Text: c.Text}
}
