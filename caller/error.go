package caller

import "fmt"

// ErrorKind classifies an Error by what is known of the work.
type ErrorKind uint8

// The kinds of error of this package.
const (
	// KindNotRun says that the work did not run and will not under its ticket.
	KindNotRun ErrorKind = iota + 1
	// KindUnknown says that the work may have run.
	KindUnknown
)

// String returns the name of the outcome.
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

// Error reports work without an answer.
type Error struct {
	// Op is the operation, such as "do".
	Op   string
	Kind ErrorKind
	// Reason is the reason that the node gave; empty when no node answered.
	Reason string
	// Ticket is that of non-idempotent work; with it, Outcome tells later what
	// became of the work.
	Ticket string
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the operation, the outcome and the reason.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
