package portage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// echo answers each call with the body of the call after a delay of TimeLeftMS.
type echo struct {
	cancelled atomic.Int64
	notices   atomic.Int64
}

func (e *echo) Greet(Peer) Welcome { return Welcome{VM: "echo", Incarnation: 5, Session: 9} }

func (e *echo) Notice(Peer, Notice) { e.notices.Add(1) }

func (e *echo) Handle(ctx context.Context, _ Peer, q Request) Response {
	c, ok := q.(*Call)
	if !ok {
		return nil
	}
	select {
	case <-time.After(time.Duration(c.TimeLeftMS) * time.Millisecond):
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), ErrCancelled) {
			e.cancelled.Add(1)
		}
	}
	return &Answer{Request: c.Request, Outcome: OutcomeAnswered, Body: c.Body}
}

func startEcho(t *testing.T, opts ...Option) (*echo, *Server, string) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := new(echo)
	s := NewServer(h, opts...)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		_ = l.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: got %v, want nil", err)
		}
	})
	return h, s, l.Addr().String()
}

// TestAnswersOutOfOrder sends many concurrent requests on one connection. Their
// answers arrive in another order, and each request must get its own answer.
func TestAnswersOutOfOrder(t *testing.T) {
	_, _, address := startEcho(t)
	link := NewLink(address, Hello{VM: "a"})
	defer link.Close()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			want := fmt.Sprint("body-", i)
			r, err := link.Do(t.Context(), &Call{Body: []byte(want), TimeLeftMS: int64((200 - i) % 50)})
			if err != nil {
				t.Errorf("call %d: %v", i, err)
				return
			}
			if got := string(r.(*Answer).Body); got != want {
				t.Errorf("call %d: got %q, want %q", i, got, want)
			}
		}()
	}
	wg.Wait()
}

// TestCancelReachesPeer lets the context of a call expire. The request must be
// cancelled at the peer.
func TestCancelReachesPeer(t *testing.T) {
	h, _, address := startEcho(t)
	link := NewLink(address, Hello{VM: "a"})
	defer link.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := link.Do(ctx, &Call{TimeLeftMS: 10_000})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the context's error", err)
	}
	for end := time.Now().Add(5 * time.Second); h.cancelled.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := h.cancelled.Load(); got != 1 {
		t.Errorf("cancelled: got %d, want 1", got)
	}
}

// TestSilentPeer connects to a listener that completes the handshake and then
// never answers. The request must fail with KindLost and the link must abandon
// the connection.
func TestSilentPeer(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			frame, _ := AppendFrame(nil, &Welcome{Version: ProtocolVersion})
			_, _ = raw.Write(frame)
		}
	}()
	link := NewLink(l.Addr().String(), Hello{VM: "a"}, WithKeepalive(10*time.Millisecond, 60*time.Millisecond))
	defer link.Close()
	_, err = link.Do(t.Context(), &Call{})
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindLost {
		t.Errorf("got %v, want kind %s", err, KindLost)
	}
	if link.Connected() {
		t.Error("link is connected, want the silent connection abandoned")
	}
}

// TestSlowPeerIsNotSilent waits for an answer longer than the silence timeout.
// The peer's pongs must keep the connection open.
func TestSlowPeerIsNotSilent(t *testing.T) {
	_, _, address := startEcho(t)
	link := NewLink(address, Hello{VM: "a"}, WithKeepalive(20*time.Millisecond, 200*time.Millisecond))
	defer link.Close()
	if _, err := link.Do(t.Context(), &Call{TimeLeftMS: 600}); err != nil {
		t.Errorf("got %v, want an answer", err)
	}
}

// TestSendOnClosedConnection sends on a connection that closed after the
// request obtained it. No byte is written, and the next request uses another
// connection.
func TestSendOnClosedConnection(t *testing.T) {
	_, _, address := startEcho(t)
	link := NewLink(address, Hello{VM: "a"})
	defer link.Close()
	if _, err := link.Connect(t.Context()); err != nil {
		t.Fatal(err)
	}
	ch := link.current
	link.abandon(ch, net.ErrClosed)
	_, err := ch.do(t.Context(), &Call{})
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindClosed {
		t.Errorf("closed connection: got %v, want kind %s", err, KindClosed)
	}
	if _, err := link.Do(t.Context(), &Call{}); err != nil {
		t.Errorf("next request: got %v, want an answer", err)
	}
}

func TestDialFails(t *testing.T) {
	link := NewLink("127.0.0.1:1", Hello{VM: "a"})
	defer link.Close()
	_, err := link.Do(t.Context(), &Call{})
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindNotSent {
		t.Errorf("got %v, want kind %s", err, KindNotSent)
	}
}

// TestShutdownAnswersAll shuts a server down while calls are in progress. Every
// call must be answered.
func TestShutdownAnswersAll(t *testing.T) {
	_, s, address := startEcho(t)
	link := NewLink(address, Hello{VM: "a"})
	defer link.Close()
	results := make(chan error, 50)
	for range cap(results) {
		go func() {
			_, err := link.Do(t.Context(), &Call{TimeLeftMS: 200, Body: make([]byte, 10_000)})
			results <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := s.Shutdown(t.Context()); err != nil {
		t.Errorf("shutdown: got %v, want nil", err)
	}
	for range cap(results) {
		if err := <-results; err != nil {
			t.Errorf("call in progress: got %v, want an answer", err)
		}
	}
}

// TestInvalidMessagesCloseConnection sends invalid sequences of messages to a
// server. It must close the connection and continue to serve others.
func TestInvalidMessagesCloseConnection(t *testing.T) {
	_, _, address := startEcho(t, WithDialTimeout(200*time.Millisecond))
	tests := []struct {
		name     string
		messages []Message
	}{
		{"nothing", nil},
		{"no hello", []Message{&Ping{}}},
		{"other version", []Message{&Hello{Version: 99}}},
		{"an answer", []Message{&Hello{Version: ProtocolVersion}, &Answer{}}},
		{"same stream twice", []Message{&Hello{Version: ProtocolVersion}, &Call{TimeLeftMS: 500}, &Call{TimeLeftMS: 500}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = raw.Close() }()
			for _, m := range tt.messages {
				frame, err := AppendFrame(nil, m)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = raw.Write(frame)
			}
			_ = raw.SetReadDeadline(time.Now().Add(5 * time.Second))
			for err == nil {
				_, err = ReadFrame(raw)
			}
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Error("connection is open, want it closed")
			}
		})
	}
	link := NewLink(address, Hello{VM: "a"})
	defer link.Close()
	if _, err := link.Do(t.Context(), &Call{}); err != nil {
		t.Errorf("afterwards: got %v, want an answer", err)
	}
}
