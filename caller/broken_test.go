package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answeredHead is the head of an answer without a length.
const answeredHead = "HTTP/1.1 200 OK\r\n" + headerOutcome + ": " + outcomeAnswered + "\r\n"

// rawNode answers each request with a text once it has read its head, and then ends the
// connection with end.
func rawNode(t *testing.T, text string, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// reset resets a connection after a pause, in which the caller reads what was sent.
func reset(conn *net.TCPConn) {
	time.Sleep(time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// drain ends the node's side in order and reads what the caller still sends.
func drain(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// doWork sends work through a node, once.
func doWork(t *testing.T, node string, size int, opts ...Option) (*Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c := New([]string{node}, append(opts, WithoutTickets())...)
	return c.Do(ctx, Work{Kind: "seal", Body: []byte(strings.Repeat("x", size))})
}

// uploadSize is the size of a body that no socket buffer holds, in bytes.
const uploadSize = 16 << 20

// TestResetDuringUpload has a node that answers an upload at once without a length,
// sends a part of the body and resets the connection while the upload is written. The
// part must not be returned as the answer, in any order of the calls on the connection.
func TestResetDuringUpload(t *testing.T) {
	const plays = 100
	for name, opts := range map[string][]Option{"own client": nil, "client of the program": {WithClient(&http.Client{Transport: &http.Transport{}})}} {
		t.Run(name, func(t *testing.T) {
			node := rawNode(t, answeredHead+"\r\na part", reset)
			failed := 0
			for range plays {
				a, err := doWork(t, node, uploadSize, opts...)
				var e *Error
				if errors.As(err, &e) && e.Kind == KindUnknown {
					continue
				}
				if failed++; failed == 1 {
					t.Errorf("got %+v and %v, want an unknown outcome", a, err)
				}
			}
			if failed > 0 {
				t.Errorf("got a part for the answer in %d of %d plays", failed, plays)
			}
		})
	}
}

// TestSoundAnswerDuringUpload has a node that answers an upload at once with a whole
// body without a length, and ends its side in order.
func TestSoundAnswerDuringUpload(t *testing.T) {
	const plays = 20
	node := rawNode(t, answeredHead+"\r\nthe whole body", drain)
	for n := range plays {
		a, err := doWork(t, node, uploadSize)
		if err != nil || string(a.Body) != "the whole body" {
			t.Fatalf("play %d: got %+v and %v, want the whole body", n, a, err)
		}
	}
}

// TestBrokenAnswers has a node whose answer is not well-formed. It must not be returned,
// neither as an answer nor as a refusal.
func TestBrokenAnswers(t *testing.T) {
	const rest = "Content-Length: 5\r\n\r\nhello"
	whole := answeredHead + rest
	for name, answer := range map[string]string{
		"status 000":              strings.Replace(whole, "200", "000", 1),
		"status 099":              strings.Replace(whole, "200", "099", 1),
		"status 600":              strings.Replace(whole, "200", "600", 1),
		"other protocol":          strings.Replace(whole, "200", "101", 1),
		"version 2":               strings.Replace(whole, "HTTP/1.1", "HTTP/2.0", 1),
		"status 000, not run":     "HTTP/1.1 000 X\r\n" + headerOutcome + ": " + outcomeNotRun + "\r\n" + rest,
		"blank in a name":         answeredHead + "X Y: z\r\n" + rest,
		"blank after the length":  answeredHead + "Content-Length : 9\r\n\r\na part",
		"blank in a trailer":      answeredHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: z\r\n\r\n",
		"blank in interim answer": "HTTP/1.1 103 Early\r\nX Y: z\r\n\r\n" + whole,
		"control byte in a name":  answeredHead + "X\x01: z\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			a, err := doWork(t, rawNode(t, answer, drain), 1)
			var e *Error
			if !errors.As(err, &e) || e.Kind != KindUnknown {
				t.Errorf("got %+v and %v, want an unknown outcome", a, err)
			}
		})
	}
}

// TestAnswerCutAnywhere has a node that stops anywhere in its answer and closes the
// connection.
func TestAnswerCutAnywhere(t *testing.T) {
	answer := answeredHead + "Content-Length: 5\r\n\r\nhello"
	for end := range answer {
		a, err := doWork(t, rawNode(t, answer[:end], drain), 1)
		var e *Error
		if !errors.As(err, &e) || e.Kind != KindUnknown {
			t.Errorf("cut after %q: got %+v and %v, want an unknown outcome", answer[:end], a, err)
		}
	}
}

// TestNoTicket has a node that answers a reservation without a ticket.
func TestNoTicket(t *testing.T) {
	bad := rawNode(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", drain)
	good := rawNode(t, "HTTP/1.1 200 OK\r\n"+headerTicket+": vm/1/1/1\r\nContent-Length: 0\r\n\r\n", drain)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if got, err := New([]string{bad, good}).Reserve(ctx, "seal"); got != "vm/1/1/1" || err != nil {
		t.Errorf("got %q and %v, want the ticket of the second node", got, err)
	}
}
