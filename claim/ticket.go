package claim

import (
	"strconv"
	"strings"
)

// Ticket is the permission to run one piece of work once. The zero value is
// no ticket.
type Ticket struct {
	// vm is the VM whose process may run the work.
	vm string
	// incarnation is that process; another process on the VM never runs it.
	incarnation uint64
	// session stands for the issuing process and its incarnation: the owner
	// gives each a session of its own and never uses a number twice.
	session uint64
	// sequence is unique within the session, from 1.
	sequence uint64
}

// NewTicket returns a ticket of its parts.
func NewTicket(vm string, incarnation, session, sequence uint64) Ticket {
	return Ticket{vm: vm, incarnation: incarnation, session: session, sequence: sequence}
}

// VM returns the VM that owns the ticket.
func (t Ticket) VM() string { return t.vm }

// Incarnation returns the incarnation of the owner.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// Session returns the issuer's session at the owner.
func (t Ticket) Session() uint64 { return t.session }

// Sequence returns the number within the session.
func (t Ticket) Sequence() uint64 { return t.sequence }

// IsZero reports whether t is no ticket.
func (t Ticket) IsZero() bool { return t == Ticket{} }

// String returns the form that ParseTicket reads, or "" for no ticket.
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

// ParseTicket reads the form that String writes. It returns an *Error.
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
