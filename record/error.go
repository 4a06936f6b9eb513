package record

import (
	"fmt"
	"strings"
)

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of error that this package returns.
const (
	// KindSyntax marks a document that is invalid YAML or has unknown keys.
	KindSyntax ErrorKind = iota + 1
	// KindValue marks a field with an invalid value.
	KindValue
	// KindSchema marks a document whose schema version is missing or unknown.
	KindSchema
	// KindSize marks a document larger than MaxBytes.
	KindSize
)

// String returns the name of the kind in lower case.
func (k ErrorKind) String() string {
	switch k {
	case KindSyntax:
		return "syntax"
	case KindValue:
		return "value"
	case KindSchema:
		return "schema"
	case KindSize:
		return "size"
	default:
		return "unknown"
	}
}

// Problem is one error in a document.
type Problem struct {
	// Line is the line of the problem, starting at 1; 0 when the problem concerns
	// the whole document.
	Line int
	// Reason describes the problem and what is expected.
	Reason string
}

// Error reports every problem found in a document.
type Error struct {
	// Op is the operation that failed, such as "parse".
	Op string
	// Kind is the kind of the first problem.
	Kind ErrorKind
	// Name is the file name or key of the document.
	Name string
	// Problems lists the problems; it is never empty.
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", e.Name, p.Line, p.Reason))
	}
	return "record: " + e.Op + ": " + strings.Join(lines, "\n")
}
