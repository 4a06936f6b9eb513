package kiln

import (
	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/ledger"
)

// outcome is what became of a call.
type outcome uint8

const (
	// answered is a whole answer.
	answered outcome = iota + 1
	// errored is an answer that reports an error: an onward call failed.
	errored
	// refused says that the work did not run.
	refused
	// lost is no answer.
	lost
)

// reason says why a call was refused.
type reason uint8

const (
	// busy: another VM may take it sooner.
	busy reason = iota + 1
	// full: there is no room for it.
	noCapacity
	// strained: services further down are full.
	downstreamOverload
	// expired: it cannot end in time.
	expired
	// shed: the upstream refused it.
	upstreamRefused
	// gone: there is no node.
	nodeDown
)

// answer is what a node tells about a call.
type answer struct {
	outcome outcome
	reason  reason
	// reached tells that the call was sent to the upstream.
	reachedUpstream bool
	estimate        booking.Estimate
	nested          bool
	overload        float64
}

// call is a call on its way.
type call struct {
	kind *Kind
	// origin is the node where it began.
	origin   *node
	deadline clock.Millis
	// useful is until when the answer is of full use.
	usefulUntil clock.Millis
	attempts    *dispatch.Attempts
	account     *ledger.Account
	maxWait     clock.Millis
	// repeat tells that an earlier try reached an upstream.
	retry bool
	// done receives the answer once.
	done func(answer)
}
