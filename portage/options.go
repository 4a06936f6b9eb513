package portage

import (
	"crypto/tls"
	"net"
	"time"
)

// The defaults of a Link and a Server, as durations.
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
	maxConns       int
	traffic        *Traffic
}

// Option changes a Link or a Server.
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

// WithDialTimeout bounds dialling and the first exchange; the default is 1 s.
func WithDialTimeout(d time.Duration) Option {
	return func(s *settings) { s.dialTimeout = d }
}

// WithSilence sets after which quiet time a connection with waiting requests
// is probed and abandoned; the defaults are 100 ms and 400 ms.
func WithKeepalive(pingAfter, silentAfter time.Duration) Option {
	return func(s *settings) {
		s.pingAfter = pingAfter
		s.silenceTimeout = silentAfter
	}
}

// WithIdleAfter sets after which time without requests a Link closes its
// connection; the default is 20 s.
func WithIdleTimeout(d time.Duration) Option {
	return func(s *settings) { s.idleTimeout = d }
}

// WithTLS makes connections use the configuration that the function returns at
// each handshake, which for a Link must have a ServerName; the default is plain
// TCP.
func WithTLS(config func() *tls.Config) Option {
	return func(s *settings) { s.tls = config }
}

// WithOnWelcome calls f at each new connection of a Link; the default does
// nothing.
func WithOnWelcome(f func(Welcome)) Option {
	return func(s *settings) { s.onWelcome = f }
}

// WithOnNotice calls f for each notice that the peer of a Link sends; the
// default does nothing.
func WithOnNotice(f func(Notice)) Option {
	return func(s *settings) { s.onNotice = f }
}

// WithTraffic counts what is sent in t; the default counts nothing.
func WithTraffic(t *Traffic) Option {
	return func(s *settings) { s.traffic = t }
}

// WithMaxConns bounds the connections that a Server holds; the default is
// 4096.
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
