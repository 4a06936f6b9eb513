package landing

import (
	"net/http"
	"time"
)

// Limits bound what one caller may send and for how long.
type Limits struct {
	// HeaderBytes is the maximum size of the request line and the header, in bytes.
	HeaderBytes int
	// HeaderTime is the maximum time to read them, and BodyTime that to read a body.
	HeaderTime, BodyTime time.Duration
	// IdleTime is how long a connection is kept open without a request.
	IdleTime time.Duration
	// WriteTime is the maximum time to write a response to a caller that reads
	// slowly.
	WriteTime time.Duration
}

// DefaultLimits returns the limits of a Server without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes: 64 << 10,
		HeaderTime:  5 * time.Second,
		BodyTime:    30 * time.Second,
		IdleTime:    2 * time.Minute,
		WriteTime:   20 * time.Second,
	}
}

// defaultMaxConns is the default of WithMaxConns.
const defaultMaxConns = 4096

type settings struct {
	limits     func() Limits
	concurrent func(*http.Request) bool
	maxConns   int
}

// Option configures a Server.
type Option func(*settings)

// WithLimits sets a function that returns the current limits. It is called for
// each request, so the limits may change while the server runs. The default is
// DefaultLimits.
func WithLimits(f func() Limits) Option {
	return func(s *settings) { s.limits = f }
}

// WithConcurrent sets a function that reports whether a request may run while
// earlier requests on its connection are unanswered. Such a request may run
// although its response is never written, because an earlier one closes the
// connection, and the caller then sends it again: it must be idempotent. A request
// with a body never runs so. By default no request does.
func WithConcurrent(f func(*http.Request) bool) Option {
	return func(s *settings) { s.concurrent = f }
}

// WithMaxConns sets the maximum number of open connections; the default is 4096.
// At the maximum a new connection takes the place of an idle one, or waits.
func WithMaxConns(n int) Option {
	return func(s *settings) { s.maxConns = max(n, 1) }
}

func newSettings(opts []Option) settings {
	s := settings{
		limits:     DefaultLimits,
		concurrent: func(*http.Request) bool { return false },
		maxConns:   defaultMaxConns,
	}
	for _, o := range opts {
		o(&s)
	}
	return s
}
