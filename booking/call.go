package booking

import "cuminhollow.example/clock"

type callState uint8

const (
	callNew callState = iota
	callWaiting
	callRunning
	callEnded
)

// Call is one call at a Desk. Create it with NewCall and give it to one Desk
// once.
type Call struct {
	class    Class
	kind     string
	caller   string
	deadline clock.Millis
	// useful is until when an answer is of full use; the deadline where nothing
	// else is said.
	usefulUntil clock.Millis
	// origin is the service on whose VM the call began; empty when unknown.
	origin string
	// once marks work that is not idempotent.
	nonIdempotent bool
	// onward marks a call that is made for work that runs already.
	nested bool
	// patience is the longest wait that makes sense, or negative for no bound
	// but the deadline, in milliseconds.
	maxWait clock.Millis
	// latest is the last time at which a queued call may start.
	latestStart clock.Millis
	// decided receives exactly one verdict if the call was queued.
	decided          chan Verdict
	arrived, started clock.Millis
	// first marks the first call of a chain, which may wait when services further
	// down are full.
	root bool
	// strained is set when the call waited for long or was refused for want of
	// room.
	overloaded bool
	// state is guarded by the mutex of the desk.
	state callState
}

// NewCall returns a call whose answer is of use until deadline.
func NewCall(class Class, kind, caller string, deadline clock.Millis) *Call {
	return &Call{class: class, kind: kind, caller: caller, deadline: deadline, usefulUntil: deadline, maxWait: -1}
}

// SetUseful tells until when the answer is of full use. A call that would wait
// beyond that is refused rather than queued before others, unless the time has
// passed already.
func (c *Call) SetUsefulUntil(until clock.Millis) { c.usefulUntil = min(until, c.deadline) }

// SetPatience bounds the expected wait with which the call is still queued, in
// milliseconds. Without it, only the deadline bounds the wait.
func (c *Call) SetMaxWait(patience clock.Millis) { c.maxWait = max(patience, 0) }

// SetOrigin names the service on whose VM the call began.
func (c *Call) SetOrigin(service string) { c.origin = service }

// SetOnce marks work that is not idempotent.
func (c *Call) SetNonIdempotent() { c.nonIdempotent = true }

// SetOnward marks a call that is known to be made for work that runs already.
func (c *Call) SetNested() { c.nested = true }

// Onward reports whether the call is made for work that runs already, as far as
// the desk knew when it was admitted.
func (c *Call) Nested() bool { return c.nested }

// Class returns the class of the call.
func (c *Call) Class() Class { return c.class }

// Latest returns the time from which on a queued call would end too late, so
// that waiting for it makes no sense.
func (c *Call) LatestStart() clock.Millis { return c.latestStart }

// Decided receives VerdictStart or a refusal once for a call that was queued.
func (c *Call) Decided() <-chan Verdict { return c.decided }
