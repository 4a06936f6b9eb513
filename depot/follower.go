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
	hearWait    clock.Millis = clock.Second
	hearTimeout clock.Millis = 1200
	// hearAge is the age of what a reader knows beyond which the platform is asked
	// itself, in milliseconds.
	hearAge clock.Millis = 1300
	// readerWait is how long a node waits for changes at the platform while others
	// hear from it: their knowledge is as old as its last answer, in milliseconds.
	readerWait clock.Millis = 900
	// lentSpan is how long after a question a node counts as heard from, in
	// milliseconds.
	lentSpan clock.Millis = 3 * clock.Second
)

// follower keeps up to date what the node knows of routes and VMs. It hears from
// a reader of its region, or asks the platform itself: when it is a reader, and at
// once when its reader is silent or was not told anything for hearAge. What is
// heard is therefore in force hardly later than what is read.
type follower struct {
	source  Source
	sink    Sink
	clock   clock.Clock
	readers *registry.Watchers
	peers   *peers
	lender  *lender
	log     zerolog.Logger
	// from is the reader heard from last; empty for the platform itself.
	from string
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if m, ok := f.reader(); ok {
			f.turnTo(m.VM)
			if f.hear(ctx, m) {
				continue
			}
			f.readers.Exclude(f.clock.Now(), m)
		}
		f.turnTo("")
		f.source.Ask(ctx, f.sink, f.lender.wait())
	}
	return nil
}

// reader returns the node to hear from; false when the platform is to be asked.
func (f *follower) reader() (registry.Member, bool) {
	if f.source.Unsure() {
		return registry.Member{}, false
	}
	return f.readers.Next(f.clock.Now())
}

// turnTo notes from whom the node hears, and logs a change.
func (f *follower) turnTo(from string) {
	if from != f.from {
		f.log.Info().Str("event", "hears-from").Str("reader", from).Str("before", f.from).
			Int64("age_ms", int64(f.source.Age())).Send()
		f.from = from
	}
}

// hear asks a reader for what is new and reports whether that is as good as the
// platform's own answer.
func (f *follower) hear(ctx context.Context, m registry.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, hearTimeout.Duration())
	defer cancel()
	link, err := f.peers.get(m.VM, m.Address).connect(ctx)
	if err != nil {
		f.log.Debug().Str("event", "reader-unreachable").Str("reader", m.VM).Err(err).Send()
		return false
	}
	began := f.clock.Now()
	r, err := link.Do(ctx, &portage.CopyRequest{After: f.source.Revision(), WaitMS: int64(hearWait)})
	c, ok := r.(*portage.CopyResponse)
	if err != nil || !ok {
		f.log.Debug().Str("event", "reader-silent").Str("reader", m.VM).Err(err).Send()
		return false
	}
	asOf := knownAsOf(began, c)
	if c.Away || f.clock.Now()-asOf > hearAge {
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
