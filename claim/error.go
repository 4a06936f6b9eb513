package claim

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// KindSyntax marks a text that is not a valid ticket.
const KindSyntax ErrorKind = 1

// Error reports a failed operation on a ticket.
type Error struct {
	// Op is the operation that failed, such as "parse ticket".
	Op   string
	Kind ErrorKind
	// Text is the input that was rejected.
	Text string
}

// Error returns the operation, the input and the expected form.
func (e *Error) Error() string {
	return fmt.Sprintf("claim: %s: %q is not of the form vm/incarnation/session/sequence", e.Op, e.Text)
}
