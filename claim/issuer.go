package claim

import "sync/atomic"

// Issuer creates the tickets of one session. It is safe for concurrent use.
type Issuer struct {
	vm          string
	incarnation uint64
	session     uint64
	// last is the highest sequence number issued.
	last atomic.Uint64
}

// NewIssuer returns an issuer for a session that the owner has just opened. The
// vm and incarnation are those of the owner.
func NewIssuer(vm string, incarnation, session uint64) *Issuer {
	return &Issuer{vm: vm, incarnation: incarnation, session: session}
}

// Next returns a new ticket with the next sequence number.
func (i *Issuer) Next() Ticket {
	return NewTicket(i.vm, i.incarnation, i.session, i.last.Add(1))
}

// Matches reports whether the issuer belongs to the given incarnation of the
// owner and session.
func (i *Issuer) Matches(incarnation, session uint64) bool {
	return i.incarnation == incarnation && i.session == session
}
