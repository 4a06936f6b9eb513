package portage

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of error that this package returns.
const (
	// KindNotSent marks a request of which no byte was written. It did not run.
	KindNotSent ErrorKind = iota + 1
	// KindClosed marks a request of which no byte was written because the
	// connection had just closed. Another connection may be available.
	KindClosed
	// KindLost marks a request whose response did not arrive. It may have run.
	KindLost
	// KindFrame marks an invalid frame or message.
	KindFrame
	// KindSize marks a frame whose payload is larger than MaxFrame.
	KindSize
)

// String returns the name of the kind for logs.
func (k ErrorKind) String() string {
	switch k {
	case KindNotSent:
		return "not-sent"
	case KindClosed:
		return "closed"
	case KindLost:
		return "lost"
	case KindFrame:
		return "bad-frame"
	case KindSize:
		return "too-large"
	default:
		return "unknown"
	}
}

// Error reports a failed operation on a connection.
type Error struct {
	// Op is the operation that failed, such as "dial".
	Op   string
	Kind ErrorKind
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("portage: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("portage: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
