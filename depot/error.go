package depot

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of error of this package.
const (
	// KindSettings marks settings that cannot be used.
	KindSettings ErrorKind = iota + 1
	// KindListen marks an address that cannot be listened on.
	KindListen
	// KindPlatform marks a failed read of the configuration service.
	KindPlatform
)

// Error reports a failed operation of a node.
type Error struct {
	// Op is the operation, such as "listen".
	Op   string
	Kind ErrorKind
	// Err is the cause, never nil.
	Err error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("depot: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
