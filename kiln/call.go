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
	full
	// strained: services further down are full.
	strained
	// expired: it cannot end in time.
	expired
	// shed: the upstream refused it.
	shed
	// gone: there is no node.
	gone
)

// answer is what a node tells about a call.
type answer struct {
	outcome outcome
	reason  reason
	// reached tells that the call was sent to the upstream.
	reached bool
	outlook booking.Estimate
	onward  bool
	strain  float64
}

// call is a call on its way.
type call struct {
	kind *Kind
	// origin is the node where it began.
	origin   *node
	deadline clock.Millis
	// useful is until when the answer is of full use.
	useful   clock.Millis
	trip     *dispatch.Attempts
	account  *ledger.Account
	patience clock.Millis
	// repeat tells that an earlier try reached an upstream.
	repeat bool
	// done receives the answer once.
	done func(answer)
}
