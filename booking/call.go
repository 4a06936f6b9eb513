package booking

import "cuminhollow.example/clock"

type callState uint8

const (
	callNew callState = iota
	callWaiting
	callRunning
	callEnded
)

// Call is one call to a Controller. Create it with NewCall and give it to one
// Controller once.
type Call struct {
	class    Class
	kind     string
	caller   string
	deadline clock.Millis
	// usefulUntil is the time until which the answer is of full use; the deadline
	// by default.
	usefulUntil clock.Millis
	// origin is the service on whose VM the call was made; empty when unknown.
	origin        string
	nonIdempotent bool
	// nested marks a call that an upstream made while it ran another call.
	nested bool
	// maxWait is the longest expected wait with which the call is queued, in
	// milliseconds; if negative, only the deadline bounds the wait.
	maxWait clock.Millis
	// latestStart is the time from which a queued call is no longer started.
	latestStart clock.Millis
	// decided receives exactly one verdict if the call was queued, unless it was
	// cancelled.
	decided          chan Verdict
	arrived, started clock.Millis
	// underQuota is set if the quota of the kind applies: for root calls, unless
	// the controller has no quotas.
	underQuota bool
	// overloaded is set if the upstream was overloaded when the call started, if
	// the call was refused because of overload, or if it left the queue without
	// being started.
	overloaded bool
	// state is guarded by the mutex of the controller.
	state callState
}

// NewCall returns a call that must be answered by deadline. It has no maximum
// wait, and its answer is of full use until the deadline.
func NewCall(class Class, kind, caller string, deadline clock.Millis) *Call {
	return &Call{class: class, kind: kind, caller: caller, deadline: deadline, usefulUntil: deadline, maxWait: -1}
}

// SetUsefulUntil sets the time until which the answer is of full use, at most
// the deadline. A root call that would wait beyond it is refused rather than
// queued ahead of others, unless that time has already passed.
func (c *Call) SetUsefulUntil(until clock.Millis) { c.usefulUntil = min(until, c.deadline) }

// SetMaxWait sets the longest expected wait with which the call is queued, in
// milliseconds. Without it, only the deadline bounds the wait.
func (c *Call) SetMaxWait(maxWait clock.Millis) { c.maxWait = max(maxWait, 0) }

// SetOrigin sets the service on whose VM the call was made.
func (c *Call) SetOrigin(service string) { c.origin = service }

// SetNonIdempotent marks work that is not idempotent.
func (c *Call) SetNonIdempotent() { c.nonIdempotent = true }

// SetNested marks a call that is known to have been made by an upstream while it
// ran another call.
func (c *Call) SetNested() { c.nested = true }

// Nested reports whether the call was marked as nested or, once Admit returned,
// whether the controller classified it so.
func (c *Call) Nested() bool { return c.nested }

// Class returns the priority class of the call. Admit may change it.
func (c *Call) Class() Class { return c.class }

// LatestStart returns the time from which a queued call is no longer started,
// because it would probably miss its deadline.
func (c *Call) LatestStart() clock.Millis { return c.latestStart }

// Decided returns a channel that receives one verdict, VerdictStart or a refusal,
// if the call was queued, unless Controller.Cancel removed it.
func (c *Call) Decided() <-chan Verdict { return c.decided }
