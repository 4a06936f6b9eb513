package caller

import "fmt"

// ErrorKind classifies an Error by whether the work may have run.
type ErrorKind uint8

// The kinds of error of this package.
const (
	// KindNotRun means that the work did not run and will never run under its
	// ticket.
	KindNotRun ErrorKind = iota + 1
	// KindUnknown means that the work may have run.
	KindUnknown
)

// String returns the name of the kind as used in error messages.
func (k ErrorKind) String() string {
	switch k {
	case KindNotRun:
		return "not-run"
	case KindUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Error reports that an operation got no answer to the work, or no ticket.
type Error struct {
	// Op is the operation: "do", "reserve" or "outcome".
	Op   string
	Kind ErrorKind
	// Reason is the reason that the node gave; empty if no node answered.
	Reason string
	// Ticket is the ticket of the work, if it has one. Call Outcome with it to
	// find out later whether the work ran.
	Ticket string
	// Err is the underlying error; it may be nil.
	Err error
}

// Error returns the operation, the kind, the reason and the underlying error.
func (e *Error) Error() string {
	text := fmt.Sprintf("caller: %s: %s", e.Op, e.Kind)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
