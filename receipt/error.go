package receipt

// ErrorKind classifies an Error.
type ErrorKind uint8

// Kinds of errors returned by this package.
const (
	// KindCut marks an answer whose connection broke before its end.
	KindCut ErrorKind = iota + 1
	// KindMalformed marks an answer that breaks the protocol.
	KindMalformed
)

// Error reports that an answer is broken.
type Error struct {
	// Op names the failed operation, such as "read to the end".
	Op   string
	Kind ErrorKind
	// Err is the cause. It is never nil.
	Err error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return "receipt: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
