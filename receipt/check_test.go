package receipt

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// readAnswer reads an answer with net/http's parser and checks all that can be checked.
func readAnswer(text string) error {
	var head Head
	for line := range strings.Lines(text) {
		if last, err := head.Line([]byte(line)); err != nil {
			return err
		} else if last {
			break
		}
	}
	res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return Check(res)
}

// TestCheck checks which heads are accepted.
func TestCheck(t *testing.T) {
	for text, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\n":                            true,
		"HTTP/1.1 200 OK\nX: y\n\n":                                  true,
		"HTTP/1.1 200\r\n\r\n":                                       true,
		"HTTP/1.0 200 OK\r\n\r\n":                                    true,
		"HTTP/1.1 599 X\r\n\r\n":                                     true,
		"HTTP/1.1 103 X\r\n\r\n":                                     true,
		"HTTP/1.1 200 OK\r\nX:\r\n\r\n":                              true,
		"HTTP/1.1 200 OK\r\nX-y_z.1~|: \ty \tz \r\n\r\n":             true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n": true,
		"HTTP/1.1 000 X\r\n\r\n":                                     false,
		"HTTP/1.1 101 X\r\n\r\n":                                     false,
		"HTTP/1.1 600 X\r\n\r\n":                                     false,
		"HTTP/3.0 200 OK\r\n\r\n":                                    false,
		"HTTP/1.1 200 OK\r\nX : y\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n":                          false,
		"HTTP/1.1 200 OK\r\n X: y\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\nX: y\r\n\tz\r\n\r\n":                     false,
		"HTTP/1.1 200 OK\r\nX: y\r\n \r\n\r\n":                       false,
		"HTTP/1.1 200 OK\r\n: y\r\n\r\n":                             false,
		"HTTP/1.1 200 OK\r\nX\x7f: y\r\n\r\n":                        false,
		"HTTP/1.1 200 OK\r\nX: y\rz\r\n\r\n":                         false,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n":      false,
	} {
		if err := readAnswer(text); (err == nil) != sound {
			t.Errorf("%q: got %v, want it accepted: %t", text, err, sound)
		}
	}
}

// TestCheckKind checks that the errors tell that the answer is malformed.
func TestCheckKind(t *testing.T) {
	var head Head
	_, _ = head.Line([]byte("HTTP/1.1 200 OK\r\n"))
	_, lineError := head.Line([]byte(" X: y\r\n"))
	for name, err := range map[string]error{
		"answer":  Check(&http.Response{ProtoMajor: 1, StatusCode: http.StatusSwitchingProtocols}),
		"interim": CheckInterim(http.StatusEarlyHints, map[string][]string{"X Y": {"z"}}),
		"status":  CheckInterim(http.StatusOK, nil),
		"trailer": CheckTrailer(&http.Response{Trailer: http.Header{"X Y": {"z"}}}),
		"line":    lineError,
	} {
		var e *Error
		if !errors.As(err, &e) || e.Kind != KindMalformed {
			t.Errorf("%s: got %v, want an error of kind %d", name, err, KindMalformed)
		}
	}
}
