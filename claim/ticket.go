package claim

import (
	"strconv"
	"strings"
)

// Ticket permits one run of one piece of work. The zero value means that there
// is no ticket.
type Ticket struct {
	// vm is the VM whose process may run the work.
	vm string
	// incarnation identifies that process. A later process on the VM never runs
	// the work.
	incarnation uint64
	// session identifies the incarnation of the issuing process. The owner
	// assigns each one its own number and never reuses a number.
	session uint64
	// sequence is unique within the session and starts at 1.
	sequence uint64
}

// NewTicket returns the ticket with the given fields.
func NewTicket(vm string, incarnation, session, sequence uint64) Ticket {
	return Ticket{vm: vm, incarnation: incarnation, session: session, sequence: sequence}
}

// VM returns the VM that owns the ticket.
func (t Ticket) VM() string { return t.vm }

// Incarnation returns the incarnation of the owner.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// Session returns the issuer's session at the owner.
func (t Ticket) Session() uint64 { return t.session }

// Sequence returns the number of the ticket within the session.
func (t Ticket) Sequence() uint64 { return t.sequence }

// IsZero reports whether t is the zero value.
func (t Ticket) IsZero() bool { return t == Ticket{} }

// String returns the form that ParseTicket reads, or "" for the zero value.
func (t Ticket) String() string {
	if t.IsZero() {
		return ""
	}
	b := make([]byte, 0, len(t.vm)+48)
	b = append(b, t.vm...)
	for _, n := range [...]uint64{t.incarnation, t.session, t.sequence} {
		b = append(b, '/')
		b = strconv.AppendUint(b, n, 16)
	}
	return string(b)
}

// ParseTicket parses the form that String returns. The error is an *Error of
// KindSyntax.
func ParseTicket(s string) (Ticket, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 4 || parts[0] == "" {
		return Ticket{}, &Error{Op: "parse ticket", Kind: KindSyntax, Text: s}
	}
	var numbers [3]uint64
	for i, p := range parts[1:] {
		n, err := strconv.ParseUint(p, 16, 64)
		if err != nil {
			return Ticket{}, &Error{Op: "parse ticket", Kind: KindSyntax, Text: s}
		}
		numbers[i] = n
	}
	return NewTicket(parts[0], numbers[0], numbers[1], numbers[2]), nil
}
