package claim

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// KindSyntax marks a ticket that cannot be read.
const KindSyntax ErrorKind = 1

// Error reports a failed operation on a ticket.
type Error struct {
	// Op is the operation, such as "parse ticket".
	Op   string
	Kind ErrorKind
	// Text is the input that was refused.
	Text string
}

// Error returns the operation and the input.
func (e *Error) Error() string {
	return fmt.Sprintf("claim: %s: %q is not of the form vm/incarnation/session/sequence", e.Op, e.Text)
}
