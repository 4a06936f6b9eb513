package kiln

import (
	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/ledger"
)

// outcome is the result of a call as its sender sees it.
type outcome uint8

const (
	// answered is a complete answer that reports no error.
	answered outcome = iota + 1
	// errored is an answer that reports an error, because a nested call failed.
	errored
	// refused means that the work did not run.
	refused
	// lost means that there was no answer.
	lost
)

// reason says why a call has no answer.
type reason uint8

const (
	// busy: the call would wait longer than its maximum wait; another VM may
	// run it sooner.
	busy reason = iota + 1
	// noCapacity: the VM is overloaded, or no VM takes the call.
	noCapacity
	// downstreamOverload: downstream services are overloaded.
	downstreamOverload
	// expired: the deadline has passed or cannot be met.
	expired
	// upstreamRefused: the upstream refused the call, or the retry rate limit
	// forbade sending it to the upstream.
	upstreamRefused
	// nodeDown: the node is not running.
	nodeDown
)

// answer is the answer of a node to a call, with the state of the owner that
// the entry node uses for its next decisions.
type answer struct {
	outcome outcome
	reason  reason
	// reachedUpstream is set if the call may have been sent to the upstream.
	reachedUpstream bool
	estimate        booking.Estimate
	// level is the first class that the owner refuses.
	level booking.Class
	// nested and overload are the results of Controller.Classify and
	// Controller.Overload for the call.
	nested   bool
	overload float64
}

// call is a call in flight.
type call struct {
	kind *Kind
	// origin is the entry node.
	origin   *node
	deadline clock.Millis
	// usefulUntil is the time until which the answer is of full use.
	usefulUntil clock.Millis
	attempts    *dispatch.Attempts
	account     *ledger.Account
	// maxWait is the longest expected wait with which the owner may queue the
	// call, in milliseconds; 0 for no bound.
	maxWait clock.Millis
	// retry is set if an earlier attempt may have reached an upstream.
	retry bool
	// done is called once with the answer.
	done func(answer)
}
