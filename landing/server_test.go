package landing

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// echo responds with the query of the request and its body, after the delay in
// milliseconds that the query names.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if ms, err := strconv.Atoi(r.URL.Query().Get("delay")); err == nil {
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	if r.URL.Query().Has("close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = fmt.Fprintf(w, "%s:%s", r.URL.Query().Get("id"), body)
}

// concurrency counts what runs at the same time.
type concurrency struct {
	mu        sync.Mutex
	now, most int
}

// begin counts one more until the returned function is called.
func (c *concurrency) begin() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now++
	c.most = max(c.most, c.now)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.now--
	}
}

// peak returns the highest count so far.
func (c *concurrency) peak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most
}

func concurrentGets(r *http.Request) bool { return r.Method == http.MethodGet }

// startServer serves a handler until the test ends. GET requests may run
// concurrently.
func startServer(t testing.TB, h http.HandlerFunc, opts ...Option) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, append([]Option{WithConcurrent(concurrentGets)}, opts...)...)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: got %v, want nil", err)
		}
	})
	return s, l.Addr().String()
}

// client is a connection to a server.
type client struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Errorf("send: %v", err)
	}
}

func get(query string) string { return "GET /?" + query + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(query, body string) string {
	return fmt.Sprintf("POST /?%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", query, len(body), body)
}

// response reads a response and returns its status, its body and whether it closes
// the connection.
func (c *client) response() (status int, body string, closes bool) {
	c.t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("response: %v", err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Fatalf("response body: %v", err)
	}
	return res.StatusCode, string(text), res.Close
}

// expect reads responses and checks their bodies.
func (c *client) expect(bodies ...string) {
	c.t.Helper()
	for _, want := range bodies {
		if status, got, _ := c.response(); status != http.StatusOK || got != want {
			c.t.Errorf("got %d %q, want %q", status, got, want)
		}
	}
}

// expectEnd checks that nothing more arrives on the connection.
func (c *client) expectEnd() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		c.t.Errorf("got a byte %q, want the end of the connection", b)
	}
}

// TestResponsesInOrder pipelines requests of which the first ones take longest.
// They run at the same time, and their responses come in order.
func TestResponsesInOrder(t *testing.T) {
	_, address := startServer(t, echo)
	c := dial(t, address)
	began := time.Now()
	var want []string
	for n := range 8 {
		c.send(get(fmt.Sprintf("id=%d&delay=%d", n, 400-50*n)))
		want = append(want, fmt.Sprint(n, ":"))
	}
	c.expect(want...)
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %s, want the time of the longest request", took)
	}
}

// TestAloneRequests checks that requests which must not run beside others, or have
// a body, wait for the responses to the earlier ones.
func TestAloneRequests(t *testing.T) {
	bodyOfGet := "GET /?id=2&delay=100 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	tests := []struct {
		name, requests string
		want           []string
		most           int
	}{
		{"not safe", get("id=1&delay=100") + post("id=2&delay=100", "body") + "PUT /?id=3 HTTP/1.1\r\nHost: h\r\n\r\n" + get("id=4"), []string{"1:", "2:body", "3:", "4:"}, 2},
		{"safe with a body", get("id=1&delay=100") + bodyOfGet, []string{"1:", "2:body"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var running concurrency
			_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				defer running.begin()()
				echo(w, r)
			})
			c := dial(t, address)
			c.send(tt.requests)
			c.expect(tt.want...)
			if got := running.peak(); got > tt.most {
				t.Errorf("got %d requests at once, want at most %d", got, tt.most)
			}
		})
	}
}

// TestNoReadAhead sends a long body behind a request that takes its time. No more
// of it than the buffers hold may be taken before the first request is answered.
func TestNoReadAhead(t *testing.T) {
	const delay, size = 500 * time.Millisecond, 32 << 20
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			time.Sleep(delay)
		}
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n, err)
	})
	c := dial(t, address)
	_ = c.conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
	began := time.Now()
	sent := make(chan time.Duration, 1)
	go func() {
		c.send(get("id=1") + post("id=2", strings.Repeat("x", size)))
		sent <- time.Since(began)
	}()
	c.expect("0 <nil>", fmt.Sprint(size, " <nil>"))
	if took := <-sent; took < delay {
		t.Errorf("the long body was taken after %s, want it after the first response", took)
	}
}

// TestCallerLeaves closes a connection while requests run and others wait behind
// them. The contexts of the running ones must end at once.
func TestCallerLeaves(t *testing.T) {
	tests := []struct {
		name, waiting string
	}{
		{"nothing waits", ""},
		{"part of a request waits", "GET /?id=2"},
		{"requests wait that must run alone", strings.Repeat("PUT /?id=2 HTTP/1.1\r\nHost: h\r\n\r\n", 10)},
		{"more requests than may run", strings.Repeat(get("id=2&delay=5000"), maxOpen+10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			left := make(chan time.Time, 2*maxOpen)
			began := make(chan struct{}, 2*maxOpen)
			_, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				select {
				case <-r.Context().Done():
					left <- time.Now()
				case <-time.After(5 * time.Second):
				}
			})
			c := dial(t, address)
			c.send(get("id=1") + tt.waiting)
			<-began
			time.Sleep(50 * time.Millisecond)
			at := time.Now()
			_ = c.conn.Close()
			select {
			case end := <-left:
				if took := end.Sub(at); took > 200*time.Millisecond {
					t.Errorf("noticed after %s, want it at once", took)
				}
			case <-time.After(3 * time.Second):
				t.Error("the running request did not notice that its caller left")
			}
		})
	}
}

// TestClosingResponse checks what happens behind a response that closes the
// connection: requests that run are answered, others are not begun.
func TestClosingResponse(t *testing.T) {
	var posts atomic.Int64
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts.Add(1)
		}
		echo(w, r)
	})
	c := dial(t, address)
	c.send(get("id=1&delay=100&close") + get("id=2&delay=200") + post("id=3", "x"))
	if _, body, closes := c.response(); body != "1:" || closes {
		t.Errorf("first: got %q, closes %t, want 1 and the connection open for the second", body, closes)
	}
	if _, body, closes := c.response(); body != "2:" || !closes {
		t.Errorf("second: got %q, closes %t, want 2 and the connection closed", body, closes)
	}
	c.expectEnd()
	if got := posts.Load(); got != 0 {
		t.Errorf("got %d requests run behind the closing response, want none", got)
	}
	for _, head := range []string{"GET /?id=1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET /?id=1 HTTP/1.0\r\n\r\n"} {
		c := dial(t, address)
		c.send(head + get("id=2"))
		if _, body, closes := c.response(); body != "1:" || !closes {
			t.Errorf("%q: got %q, closes %t, want a closing response", head, body, closes)
		}
		c.expectEnd()
	}
}

// TestUnreadBody answers a request without reading its long body. The caller sends
// all of it and must still get the response.
func TestUnreadBody(t *testing.T) {
	_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	c := dial(t, address)
	go c.send(post("id=1", strings.Repeat("x", 1<<20)))
	if status, _, closes := c.response(); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("got %d, closes %t, want 503 and the connection closed", status, closes)
	}
	c.expectEnd()
}

// TestContinue checks that a caller which waits for an interim response gets it
// when its body is read, and only then.
func TestContinue(t *testing.T) {
	const head = "POST /?id=%d&delay=0 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
	_, address := startServer(t, echo)
	c := dial(t, address)
	c.send(fmt.Sprintf(head, 1))
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil || res.StatusCode != http.StatusContinue {
		t.Fatalf("got %v, %v, want 100 Continue", res, err)
	}
	_ = res.Body.Close()
	c.send("body")
	c.expect("1:body")
}

// TestShutdown stops a server: idle connections end, requests that run are
// answered, and so is one of which only a part has arrived.
func TestShutdown(t *testing.T) {
	s, address := startServer(t, echo)
	idle, busy, partial := dial(t, address), dial(t, address), dial(t, address)
	idle.send(get("id=0"))
	idle.expect("0:")
	busy.send(get("id=1&delay=300"))
	partial.send("GET /?id=2 HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	idle.expectEnd()
	partial.send("Host: h\r\n\r\n")
	for id, c := range map[string]*client{"1:": busy, "2:": partial} {
		if _, body, closes := c.response(); body != id || !closes {
			t.Errorf("got %q, closes %t, want %q and the connection closed", body, closes, id)
		}
		_ = c.conn.Close()
	}
	if err := <-done; err != nil {
		t.Errorf("shutdown: got %v, want nil", err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("got a connection after the shutdown, want none")
	}
}

// TestShutdownAnswersArrived sends a request on each of many idle connections and
// then stops the server at once. What had arrived must be answered, however late the
// server comes to read it.
func TestShutdownAnswersArrived(t *testing.T) {
	const rounds, conns = 200, 20
	for range rounds {
		s, address := startServer(t, echo)
		clients := make([]*client, conns)
		for i := range clients {
			clients[i] = dial(t, address)
			clients[i].send(get("id=0"))
			clients[i].expect("0:")
		}
		for _, c := range clients {
			c.send(get("id=1"))
		}
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(t.Context()) }()
		for _, c := range clients {
			c.expect("1:")
			_ = c.conn.Close()
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// TestShutdownTimeout ends a shutdown before the requests are answered.
func TestShutdownTimeout(t *testing.T) {
	s, address := startServer(t, echo)
	c := dial(t, address)
	c.send(get("id=1&delay=5000"))
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(ctx); err == nil {
		t.Error("got nil, want the error of the context")
	}
	c.expectEnd()
}

// TestMaxConns opens one connection more than allowed: an idle one makes room.
func TestMaxConns(t *testing.T) {
	_, address := startServer(t, echo, WithMaxConns(2))
	busy, idle := dial(t, address), dial(t, address)
	busy.send(get("id=1&delay=500"))
	idle.send(get("id=2"))
	idle.expect("2:")
	third := dial(t, address)
	third.send(get("id=3"))
	third.expect("3:")
	busy.expect("1:")
	idle.expectEnd()
}
