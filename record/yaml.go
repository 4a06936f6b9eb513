package record

import (
	"errors"
	"io"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

var (
	linePattern         = regexp.MustCompile(`line (\d+): (.*)`)
	unknownFieldPattern = regexp.MustCompile(`^field (\S+) not found in type \S+$`)
)

// YAMLProblems converts an error of the YAML library into problems, each with
// its line. The line is 1 when the error has none.
func YAMLProblems(err error) []Problem {
	var t *yaml.TypeError
	switch {
	case errors.As(err, &t):
		problems := make([]Problem, 0, len(t.Errors))
		for _, e := range t.Errors {
			problems = append(problems, yamlProblem(e))
		}
		return problems
	case errors.Is(err, io.EOF):
		return []Problem{{Line: 1, Reason: "the document is empty"}}
	default:
		return []Problem{yamlProblem(err.Error())}
	}
}

func yamlProblem(message string) Problem {
	m := linePattern.FindStringSubmatch(message)
	if m == nil {
		return Problem{Line: 1, Reason: message}
	}
	line, err := strconv.Atoi(m[1])
	if err != nil {
		return Problem{Line: 1, Reason: message}
	}
	reason := unknownFieldPattern.ReplaceAllString(m[2], `unknown key "$1"`)
	return Problem{Line: line, Reason: reason}
}
