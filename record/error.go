package record

import (
	"fmt"
	"strings"
)

// ErrorKind classifies an Error.
type ErrorKind uint8

// The kinds of error that this package returns.
const (
	// KindSyntax marks a document that is not valid YAML or has unknown keys.
	KindSyntax ErrorKind = iota + 1
	// KindValue marks a field with a value out of its range.
	KindValue
	// KindSchema marks a document whose schema this binary does not know.
	KindSchema
	// KindSize marks a document above MaxBytes.
	KindSize
)

// String returns the kind's name in lower case.
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

// Problem is one fault in a document.
type Problem struct {
	// Line is the line of the fault, from 1; 0 when it concerns the whole
	// document.
	Line int
	// Reason says what is wrong and what would be right.
	Reason string
}

// Error reports every fault found in one document.
type Error struct {
	// Op is the operation that failed, such as "parse".
	Op string
	// Kind is the class of the first fault.
	Kind ErrorKind
	// Name is the file or key of the document.
	Name string
	// Problems is never empty and is ordered by line.
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
