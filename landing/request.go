package landing

import (
	"bufio"
	"net/http"
	"strings"

	"cuminhollow.example/receipt"
)

// Error reports a request that cannot be taken.
type Error struct {
	// Op names the failed operation, such as "read request".
	Op string
	// Status is the status of the response.
	Status int
	// Err is the cause, nil if Op and Status say it all.
	Err error
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return "landing: " + e.Op + ": " + http.StatusText(e.Status)
	}
	return "landing: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// readRequest reads the head of a request and checks what net/http's parser
// leaves to its server.
func readRequest(reader *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	switch {
	case req.ProtoMajor != 1:
		return nil, &Error{Op: "read request", Status: http.StatusHTTPVersionNotSupported}
	case req.Host == "" && req.ProtoAtLeast(1, 1), !validHeader(req.Header):
		return nil, &Error{Op: "read request", Status: http.StatusBadRequest}
	case req.ProtoAtLeast(1, 1) && req.Header.Get("Expect") != "" && !expectsContinue(req):
		return nil, &Error{Op: "read request", Status: http.StatusExpectationFailed}
	}
	return req, nil
}

// validHeader reports whether the names of all fields are names and no value contains
// a control character.
func validHeader(h http.Header) bool {
	for name, values := range h {
		if !receipt.IsName(name) {
			return false
		}
		for _, v := range values {
			if strings.ContainsFunc(v, isControl) {
				return false
			}
		}
	}
	return true
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// expectsContinue reports whether the caller waits for an interim response before
// it sends the body. Version 1.0 knows no interim response.
func expectsContinue(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// headerHasToken reports whether a list in a header field contains a token.
func headerHasToken(h http.Header, name, token string) bool {
	for _, v := range h.Values(name) {
		for field := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(field), token) {
				return true
			}
		}
	}
	return false
}
