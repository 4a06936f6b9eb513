package claim

import "cuminhollow.example/clock"

type state uint8

const (
	stateRunning state = iota
	stateDone
	stateRefused
	stateLost
)

// entry is the memory of one ticket.
type entry[A any] struct {
	state  state
	answer A
	size   int
	// settled is closed when state leaves stateRunning.
	completed chan struct{}
}

// session is the memory of the tickets of one issuing process.
type session[A any] struct {
	issuer   issuerID
	number   uint64
	lastUsed clock.Millis
	// mark is the low-water mark: a ticket at or below it that has no entry
	// is unknown and never runs.
	lowWaterMark uint64
	entries      map[uint64]*entry[A]
	// running is the number of entries in stateRunning.
	running int
}

type issuerID struct {
	vm          string
	incarnation uint64
}

// completion is a place in the order in which entries were settled.
type completion struct {
	session  uint64
	sequence uint64
}
