package depot

import (
	"context"
	"errors"
	"sync/atomic"

	"cuminhollow.example/clock"
)

// errGivenUp is the cause of the contexts of calls that a planned stop no longer waits
// for.
var errGivenUp = errors.New("depot: the planned stop ends before the call")

// entryStop is the state of a planned stop as far as it concerns the calls that the
// node has taken. Create it with newEntryStop.
type entryStop struct {
	// latestDeadline is the deadline of calls that are taken during the stop, in
	// milliseconds of the node's clock; 0 before the stop.
	latestDeadline atomic.Int64
	// recalled ends when calls that wait at their owners are to be withdrawn.
	recalled context.Context
	recall   context.CancelFunc
	// givenUp ends when calls without an answer are to be answered as unknown.
	givenUp context.Context
	giveUp  context.CancelFunc
}

func newEntryStop() *entryStop {
	s := new(entryStop)
	s.recalled, s.recall = context.WithCancel(context.Background())
	s.givenUp, s.giveUp = context.WithCancel(context.Background())
	return s
}

// begin records that the stop begins. Calls that are taken from now on end by a
// deadline.
func (s *entryStop) begin(latestDeadline clock.Millis) { s.latestDeadline.Store(int64(latestDeadline)) }

// limit returns a deadline that the stop allows.
func (s *entryStop) limit(deadline clock.Millis) clock.Millis {
	if latest := clock.Millis(s.latestDeadline.Load()); latest > 0 {
		return min(deadline, latest)
	}
	return deadline
}

// callContext returns the context of a call. It ends with ctx, or when the stop no
// longer waits for the call.
func (s *entryStop) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.givenUp, func() { cancel(errGivenUp) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// recallContext returns the context of an attempt at an owner. It ends with ctx, or
// when calls that wait are to be withdrawn.
func (s *entryStop) recallContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(s.recalled, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}
