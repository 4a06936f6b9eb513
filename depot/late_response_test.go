package depot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"cuminhollow.example/clock"
	"cuminhollow.example/portage"
)

// lateUpstream echoes the body of each call. On a connection in use it sends a
// second copy of the earlier response first, while late is set.
type lateUpstream struct {
	address string
	// repeatsRun makes it repeat HeaderRun.
	repeatsRun bool
	late       atomic.Bool
	conns      atomic.Int64
}

func startLateUpstream(t *testing.T, repeatsRun bool) *lateUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &lateUpstream{address: l.Addr().String(), repeatsRun: repeatsRun}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.serve(conn)
		}
	}()
	return u
}

func (u *lateUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := ""
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		run := ""
		if u.repeatsRun {
			run = HeaderRun + ": " + q.Header.Get(HeaderRun) + "\r\n"
		}
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", run, len(body), body)
		if u.late.Load() {
			own = earlier + own
		}
		if _, err := io.WriteString(conn, own); err != nil || q.Close {
			return
		}
		earlier = own
	}
}

// newRun returns a run on an upstream that takes new calls, with a time left in
// milliseconds.
func newRun(c *portage.Call, id string, left clock.Millis) *Run {
	now := clock.NewSystem()
	return NewRun(c, id, now, now.Now()+left, func() bool { return false })
}

// TestLateResponse has an upstream that sends a response a second time, late, on a
// connection in use. No call may get the response to another one, and what follows
// must be answered again.
func TestLateResponse(t *testing.T) {
	for _, tt := range []struct {
		name       string
		repeatsRun bool
		late       portage.Outcome
		conns      int64
	}{
		{"the upstream repeats the id of the run", true, portage.OutcomeUnknown, 3},
		{"it does not", false, portage.OutcomeAnswered, 6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := startLateUpstream(t, tt.repeatsRun)
			u := newHTTPUpstream(upstreamSettings{Address: server.address, Slots: 1, Connections: 1})
			for n, want := range []portage.Outcome{
				portage.OutcomeAnswered, portage.OutcomeAnswered, portage.OutcomeAnswered, tt.late, portage.OutcomeAnswered, portage.OutcomeAnswered,
			} {
				server.late.Store(n == 3)
				id := fmt.Sprint("run-", n)
				got := u.Run(t.Context(), newRun(&portage.Call{Method: http.MethodPost, Path: "/", Body: []byte(id)}, id, 2000))
				if got.Outcome != want || want == portage.OutcomeAnswered && string(got.Body) != id {
					t.Errorf("call %d: got %s %q, want %s", n, got.Outcome, got.Body, want)
				}
			}
			if got := server.conns.Load(); got != tt.conns {
				t.Errorf("got %d connections, want %d", got, tt.conns)
			}
		})
	}
}
