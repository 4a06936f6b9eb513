package dispatch

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// Kinds of errors.
const (
	// KindNoVM means that no VM of the service is usable.
	KindNoVM ErrorKind = iota + 1
	// KindOverload means that no VM is usable and at least one of them rejects the
	// priority class of the call.
	KindOverload
)

// String returns the name that is used in rejections and metrics.
func (k ErrorKind) String() string {
	switch k {
	case KindNoVM:
		return "no-vm"
	case KindOverload:
		return "overload"
	default:
		return "unknown"
	}
}

// Error reports that no VM could be picked. The call was not sent.
type Error struct {
	// Op is the failed operation, such as "pick".
	Op   string
	Kind ErrorKind
	// Service is the requested service.
	Service string
}

// Error returns a text with the operation, the service and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("dispatch: %s VM of service %q: %s", e.Op, e.Service, e.Kind)
}
