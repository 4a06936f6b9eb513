package claim

import "cuminhollow.example/clock"

// state is the status of a claimed ticket. Every state but stateRunning is
// final and makes the ticket's entry a completed one.
type state uint8

const (
	// stateRunning includes work that is queued.
	stateRunning state = iota
	stateDone
	stateRefused
	stateLost
)

// entry is the record of one ticket.
type entry[A any] struct {
	state  state
	answer A
	size   int
	// completed is closed when state changes from stateRunning.
	completed chan struct{}
}

// session holds the tickets of one incarnation of an issuing process.
type session[A any] struct {
	issuer   issuerID
	number   uint64
	lastUsed clock.Millis
	// lowWaterMark is the highest evicted sequence number. A ticket at or below
	// it that has no entry is unknown and never runs.
	lowWaterMark uint64
	entries      map[uint64]*entry[A]
	// running is the number of entries in stateRunning.
	running int
}

type issuerID struct {
	vm          string
	incarnation uint64
}

// completion identifies a completed entry in the eviction order.
type completion struct {
	session  uint64
	sequence uint64
}
