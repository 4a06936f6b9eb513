package dispatch

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of error of this package.
const (
	// KindNoVM marks a service without a VM that takes new work.
	KindNoVM ErrorKind = iota + 1
	// KindOverload marks a service whose VMs all refuse the class.
	KindOverload
)

// String returns the name used in refusals and metrics.
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

// Error reports that no VM was chosen. No work was sent.
type Error struct {
	// Op is the operation, such as "pick".
	Op   string
	Kind ErrorKind
	// Service is the service that was asked for.
	Service string
}

// Error returns the operation, the service and the kind.
func (e *Error) Error() string {
	return fmt.Sprintf("dispatch: %s %s: %s", e.Op, e.Service, e.Kind)
}
