package landing

import (
	"io"
	"testing"
)

// TestExpectOfOldVersion guards against an interim response to a caller of HTTP/1.0, which
// knows none: an expectation of that version is to be ignored (RFC 9110, 10.1.1).
func TestExpectOfOldVersion(t *testing.T) {
	_, address := startServer(t, echo)
	c := dial(t, address)
	c.send("POST /?id=1 HTTP/1.0\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx")
	line, err := c.reader.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if want := "HTTP/1.1 200 OK\r\n"; line != want {
		t.Errorf("got first line %q, want %q", line, want)
	}
	_, _ = io.Copy(io.Discard, c.reader)
}
