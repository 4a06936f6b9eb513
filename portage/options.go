package portage

import (
	"crypto/tls"
	"net"
	"runtime/debug"
	"time"
)

// Default timeouts of a Link and a Server.
const (
	defaultDialTimeout    = time.Second
	defaultPingAfter      = 100 * time.Millisecond
	defaultSilenceTimeout = 400 * time.Millisecond
	defaultIdleTimeout    = 20 * time.Second
)

type settings struct {
	dialTimeout    time.Duration
	pingAfter      time.Duration
	silenceTimeout time.Duration
	idleTimeout    time.Duration
	tls            func() *tls.Config
	onWelcome      func(Welcome)
	onNotice       func(Notice)
	onPanic        func(part string, value any, stack []byte)
	maxConns       int
	traffic        *Traffic
}

// Option configures a Link or a Server.
type Option func(*settings)

func newSettings(opts []Option) settings {
	s := settings{
		dialTimeout:    defaultDialTimeout,
		pingAfter:      defaultPingAfter,
		silenceTimeout: defaultSilenceTimeout,
		idleTimeout:    defaultIdleTimeout,
		maxConns:       defaultMaxConns,
		onWelcome:      func(Welcome) {},
		onNotice:       func(Notice) {},
	}
	for _, o := range opts {
		o(&s)
	}
	return s
}

// WithDialTimeout sets the maximum duration of a dial and of the handshake that
// follows; the default is 1 s.
func WithDialTimeout(d time.Duration) Option {
	return func(s *settings) { s.dialTimeout = d }
}

// WithKeepalive sets the times without received bytes after which a Link pings
// and abandons a connection that has pending requests; the defaults are 100 ms
// and 400 ms.
func WithKeepalive(pingAfter, timeout time.Duration) Option {
	return func(s *settings) {
		s.pingAfter = pingAfter
		s.silenceTimeout = timeout
	}
}

// WithIdleTimeout sets the time without pending requests after which a Link closes its
// connection; the default is 20 s.
func WithIdleTimeout(d time.Duration) Option {
	return func(s *settings) { s.idleTimeout = d }
}

// WithTLS enables TLS with the configuration that the function returns for each
// connection. For a Link the configuration must have a ServerName. The default
// is plain TCP.
func WithTLS(config func() *tls.Config) Option {
	return func(s *settings) { s.tls = config }
}

// WithOnWelcome calls f for each new connection of a Link; the default does
// nothing.
func WithOnWelcome(f func(Welcome)) Option {
	return func(s *settings) { s.onWelcome = f }
}

// WithOnNotice calls f for each notice that a Link receives from its peer; the
// default does nothing.
func WithOnNotice(f func(Notice)) Option {
	return func(s *settings) { s.onNotice = f }
}

// WithOnPanic makes a panic on a connection end only that connection, and calls
// f with the part that panicked, the value and the stack. By default a panic
// ends the process.
func WithOnPanic(f func(part string, value any, stack []byte)) Option {
	return func(s *settings) { s.onPanic = f }
}

// recoverPanic ends a connection by calling end after a panic. Call it with
// defer.
func (s *settings) recoverPanic(part string, end func()) {
	if s.onPanic == nil {
		return
	}
	if v := recover(); v != nil {
		s.onPanic(part, v, debug.Stack())
		end()
	}
}

// WithTraffic adds the messages and bytes sent to the counts of t; by default
// nothing is counted.
func WithTraffic(t *Traffic) Option {
	return func(s *settings) { s.traffic = t }
}

// WithMaxConns sets the maximum number of open connections of a Server; the
// default is 4096.
func WithMaxConns(n int) Option {
	return func(s *settings) { s.maxConns = n }
}

func (s *settings) wrapClient(raw net.Conn) net.Conn {
	if s.tls == nil {
		return raw
	}
	return tls.Client(raw, s.tls())
}

func (s *settings) wrapServer(raw net.Conn) net.Conn {
	if s.tls == nil {
		return raw
	}
	return tls.Server(raw, s.tls())
}
