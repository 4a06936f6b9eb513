package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), lastID.Add(1)) }

// call is a request of a client.
type call struct {
	id, method, host, path, body string
	deadline                     time.Duration
}

// answer is what a client got. The status is 0 if the connection ended without a
// whole answer.
type answer struct {
	status    int
	signature string
	body      string
	err       error
	took      time.Duration
}

// send sends a call on a new connection to the node of a machine.
func send(ip string, c call) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", ip, portOutbound), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(c.deadline + time.Second))
	a := exchange(conn, bufio.NewReader(conn), c)
	a.took = time.Since(began)
	return a
}

// exchange sends a call on a connection and reads the answer.
func exchange(conn net.Conn, reader *bufio.Reader, c call) answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.deadline.Milliseconds())
	if c.body != "" || c.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+c.body); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	var body strings.Builder
	if _, err := io.Copy(&body, res.Body); err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, signature: res.Header.Get("Response-Signature"), body: body.String()}
}
