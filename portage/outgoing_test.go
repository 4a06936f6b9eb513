package portage

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestPeerThatDoesNotRead sends long calls to a peer that stops reading. Each call
// must return at its deadline, and those of which no byte was written must say so,
// as they have not run and will not.
func TestPeerThatDoesNotRead(t *testing.T) {
	// The bodies fill the buffers of the connection many times, and are encoded in a
	// small part of timeLeft even if the processors are busy.
	const calls, bodySize, timeLeft = 2 * sendQueueSize, 128 << 10, 500 * time.Millisecond
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bodySize)
		})
	}}
	l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	read := make(chan int, 1)
	resume := make(chan struct{})
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := newConn(raw, nil)
		if _, err := c.receive(); err != nil {
			return
		}
		frame, _ := AppendFrame(nil, &Welcome{Version: ProtocolVersion})
		_, _ = raw.Write(frame)
		<-resume
		got := 0
		for {
			m, err := c.receive()
			if err != nil {
				read <- got
				return
			}
			if _, ok := m.(*Call); ok {
				got++
			}
		}
	}()
	link := NewLink(l.Addr().String(), Hello{VM: "a"}, WithKeepalive(time.Minute, time.Minute))
	var mu sync.Mutex
	kinds := make(map[ErrorKind]int)
	var wg sync.WaitGroup
	for range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(t.Context(), timeLeft)
			defer cancel()
			began := time.Now()
			_, err := link.Do(ctx, &Call{Body: make([]byte, bodySize)})
			if took := time.Since(began); took > 3*timeLeft {
				t.Errorf("returned after %s, want it at its deadline", took)
			}
			var e *Error
			if !errors.As(err, &e) {
				t.Errorf("got %v, want an *Error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			kinds[e.Kind]++
		}()
	}
	wg.Wait()
	if kinds[KindNotSent] == 0 || kinds[KindLost] == 0 || kinds[KindNotSent]+kinds[KindLost] != calls {
		t.Errorf("got %v, want only some not sent and some lost", kinds)
	}
	if got := kinds[KindLost]; got >= sendQueueSize {
		t.Errorf("%d calls were lost, want fewer than the %d in the queue, which can be withdrawn", got, sendQueueSize)
	}
	close(resume)
	time.Sleep(200 * time.Millisecond)
	link.Close()
	if got, limit := <-read, kinds[KindLost]; got > limit {
		t.Errorf("the peer got %d calls, want at most the %d that were lost", got, limit)
	}
}
