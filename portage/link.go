package portage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// ProtocolVersion is the version of the protocol in Hello and Welcome. Peers
// reject any other version.
const ProtocolVersion = 3

// Link sends requests to one peer over a single connection. It dials when there
// is something to send and replaces a connection that fails or goes silent. It
// is safe for concurrent use. Create it with NewLink.
type Link struct {
	address  string
	hello    Hello
	settings settings

	mu sync.Mutex
	// current is the usable connection, or nil.
	current *channel
	// dialling is closed when the dial in progress ends. It is nil when no dial is
	// in progress.
	dialling chan struct{}
	// dialErr is the error of the last dial, or nil.
	dialErr error
	closed  bool
}

// NewLink returns a link to the node that listens at address. It does not dial
// until the first request.
func NewLink(address string, hello Hello, opts ...Option) *Link {
	hello.Version = ProtocolVersion
	return &Link{address: address, hello: hello, settings: newSettings(opts)}
}

// Address returns the address of the peer.
func (l *Link) Address() string { return l.address }

// Connect returns the Welcome of the current connection. It dials if there is
// no connection and returns an *Error of KindNotSent if that fails.
func (l *Link) Connect(ctx context.Context) (Welcome, error) {
	ch, err := l.channel(ctx)
	if err != nil {
		return Welcome{}, err
	}
	return ch.welcome, nil
}

// Do sends q and waits for its response. The error is an *Error: KindNotSent,
// KindClosed, KindSize and KindFrame mean that no byte of q was written,
// KindLost that the response did not arrive. When ctx ends first, the error
// wraps that of ctx and the peer is asked to cancel q.
func (l *Link) Do(ctx context.Context, q Request) (Response, error) {
	ch, err := l.channel(ctx)
	if err != nil {
		return nil, err
	}
	return ch.do(ctx, q)
}

// Notify sends n and returns without waiting for the peer. The error is an
// *Error, which means that no byte of n was written.
func (l *Link) Notify(ctx context.Context, n Notice) error {
	ch, err := l.channel(ctx)
	if err != nil {
		return err
	}
	_, err = ch.conn.send(ctx, n)
	return err
}

// Connected reports whether the link has a connection.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil
}

// Close closes the connection. Pending requests fail with KindLost and new ones
// with KindNotSent.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	ch := l.current
	l.mu.Unlock()
	if ch != nil {
		ch.conn.close()
	}
}

// channel returns the current connection. If there is none, it starts a dial or
// waits for the one in progress, so that concurrent requests share one dial.
func (l *Link) channel(ctx context.Context) (*channel, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, &Error{Op: "dial", Kind: KindNotSent, Err: net.ErrClosed}
	}
	if l.current != nil {
		ch := l.current
		l.mu.Unlock()
		return ch, nil
	}
	if l.dialling == nil {
		l.dialling = make(chan struct{})
		go l.dial(l.dialling)
	}
	done := l.dialling
	l.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, &Error{Op: "dial", Kind: KindNotSent, Err: ctx.Err()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return nil, &Error{Op: "dial", Kind: KindNotSent, Err: l.dialErr}
	}
	return l.current, nil
}

func (l *Link) dial(done chan struct{}) {
	ch, err := l.open()
	l.mu.Lock()
	l.dialling = nil
	l.current, l.dialErr = ch, err
	if ch != nil && l.closed {
		ch.conn.close()
	}
	l.mu.Unlock()
	defer close(done)
	if ch == nil {
		return
	}
	defer l.settings.recoverPanic("welcome", func() { l.abandon(ch, errors.New("panic in the handler of the welcome")) })
	l.settings.onWelcome(ch.welcome)
	go l.readLoop(ch)
	go l.watch(ch)
}

func (l *Link) open() (*channel, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.dialTimeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(l.settings.dialTimeout)
	_ = raw.SetDeadline(deadline)
	c := newConn(l.settings.wrapClient(raw), l.settings.traffic)
	welcome, err := l.handshake(c)
	if err != nil {
		c.close()
		return nil, err
	}
	_ = raw.SetReadDeadline(time.Time{})
	return newChannel(c, *welcome), nil
}

func (l *Link) handshake(c *conn) (*Welcome, error) {
	hello := l.hello
	if _, err := c.send(context.Background(), &hello); err != nil {
		return nil, err
	}
	m, err := c.receive()
	if err != nil {
		return nil, err
	}
	welcome, ok := m.(*Welcome)
	if !ok || welcome.Version != ProtocolVersion {
		return nil, &Error{Op: "handshake", Kind: KindFrame, Err: fmt.Errorf("reply to hello is not a welcome of this version: %T", m)}
	}
	return welcome, nil
}

// readLoop delivers responses and notices until the connection fails.
func (l *Link) readLoop(ch *channel) {
	defer l.settings.recoverPanic("connection", func() { l.abandon(ch, errors.New("panic while reading")) })
	for {
		m, err := ch.conn.receive()
		if err != nil {
			l.abandon(ch, err)
			return
		}
		switch m := m.(type) {
		case Response:
			ch.deliver(m)
		case Notice:
			l.settings.onNotice(m)
		}
	}
}

// watch closes the connection when it has been idle for the idle timeout and
// probes it while requests are pending. An idle connection costs one timer.
func (l *Link) watch(ch *channel) {
	defer l.settings.recoverPanic("connection watch", func() { l.abandon(ch, errors.New("panic while watching")) })
	for {
		idle := time.NewTimer(l.settings.idleTimeout)
		select {
		case <-ch.conn.closed:
			idle.Stop()
			return
		case <-ch.busy:
			idle.Stop()
			if !l.probeWhileBusy(ch) {
				return
			}
		case <-idle.C:
			if l.dropIfIdle(ch) {
				l.abandon(ch, errIdle)
				return
			}
		}
	}
}

// dropIfIdle makes new requests use another connection if this one has been idle
// for the idle timeout, and reports whether it did so.
func (l *Link) dropIfIdle(ch *channel) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ch.closeIfIdle(l.settings.idleTimeout) {
		return false
	}
	if l.current == ch {
		l.current = nil
	}
	return true
}

// probeWhileBusy pings the peer while requests are pending and abandons the
// connection when nothing arrives for the silence timeout. It reports whether
// the connection is still usable.
func (l *Link) probeWhileBusy(ch *channel) bool {
	interval := max(l.settings.pingAfter/2, time.Millisecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	detector := newSilenceDetector(interval, time.Now(), ch.conn.reads.Load())
	for {
		select {
		case <-ch.conn.closed:
			return false
		case <-ticker.C:
		}
		silence := detector.observe(time.Now(), ch.conn.reads.Load())
		switch {
		case ch.pendingRequests() == 0:
			return true
		case silence > l.settings.silenceTimeout:
			l.abandon(ch, errors.New("nothing received within the silence timeout"))
			return false
		case silence > l.settings.pingAfter:
			ch.tryPing()
		}
	}
}

// abandon closes a connection and fails its pending requests with KindLost. New
// requests use another connection.
func (l *Link) abandon(ch *channel, err error) {
	l.mu.Lock()
	if l.current == ch {
		l.current = nil
	}
	l.mu.Unlock()
	ch.conn.close()
	ch.fail(&Error{Op: "receive", Kind: KindLost, Err: err})
}
