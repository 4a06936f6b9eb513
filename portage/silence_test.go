package portage

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestSilenceDetector observes a connection at intervals of 50 ms, with pauses of
// the process.
func TestSilenceDetector(t *testing.T) {
	const interval = 50 * time.Millisecond
	type step struct {
		after time.Duration
		reads uint64
		want  time.Duration
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"silent peer", []step{{interval, 0, interval}, {interval, 0, 2 * interval}, {interval, 0, 3 * interval}}},
		{"bytes arrive", []step{{interval, 0, interval}, {interval, 1, 0}, {interval, 1, interval}}},
		{"late ticks", []step{{80 * time.Millisecond, 0, 80 * time.Millisecond}, {80 * time.Millisecond, 0, 160 * time.Millisecond}}},
		{"pause of the process", []step{{interval, 0, interval}, {5 * time.Second, 0, 3 * interval}, {interval, 1, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			d := newSilenceDetector(interval, now, 0)
			for i, s := range tt.steps {
				now = now.Add(s.after)
				if got := d.observe(now, s.reads); got != s.want {
					t.Errorf("step %d: got %s, want %s", i, got, s.want)
				}
			}
		})
	}
}

// TestSlowLinkIsNotSilent sends a long call over a link that takes longer for it
// than the silence timeout. The connection must not be given up meanwhile.
func TestSlowLinkIsNotSilent(t *testing.T) {
	_, _, address := startEcho(t)
	relay, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = relay.Close() }()
	go func() {
		in, err := relay.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(in, out) }()
		// About 2 MB a second.
		piece := make([]byte, 20<<10)
		for {
			n, err := in.Read(piece)
			if err != nil {
				return
			}
			_, _ = out.Write(piece[:n])
			time.Sleep(10 * time.Millisecond)
		}
	}()
	link := NewLink(relay.Addr().String(), Hello{VM: "a"}, WithKeepalive(50*time.Millisecond, 200*time.Millisecond))
	defer link.Close()
	body := make([]byte, MaxBody)
	r, err := link.Do(t.Context(), &Call{Body: body})
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	if got := len(r.(*Answer).Body); got != len(body) {
		t.Errorf("got a body of %d bytes, want %d", got, len(body))
	}
}

// TestIdleCloseIsAtomic checks that a request is either on the connection before
// it is closed as idle, or told that no byte of it was written.
func TestIdleCloseIsAtomic(t *testing.T) {
	ch := newChannel(nil, Welcome{})
	if _, err := ch.add(&Call{}); err != nil {
		t.Fatal(err)
	}
	if ch.closeIfIdle(0) {
		t.Error("with a pending request: got the connection closed, want it open")
	}
	ch.remove(ch.lastStream)
	if ch.closeIfIdle(time.Hour) {
		t.Error("before the idle timeout: got the connection closed, want it open")
	}
	if !ch.closeIfIdle(0) {
		t.Error("after the idle timeout: got the connection open, want it closed")
	}
	var e *Error
	if _, err := ch.add(&Call{}); !errors.As(err, &e) || e.Kind != KindClosed {
		t.Errorf("request on the closed connection: got %v, want kind %s", err, KindClosed)
	}
}
