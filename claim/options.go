package claim

import "cuminhollow.example/clock"

// The defaults of a Table.
const (
	defaultRecords  = 1 << 16
	defaultBytes    = 16 << 20
	defaultSessions = 1 << 15
	// defaultIdle is how long an unused session is kept, in milliseconds.
	defaultIdleTimeout = 10 * clock.Minute
)

type limits struct {
	records     int
	bytes       int
	sessions    int
	idleTimeout clock.Millis
}

// Option changes a limit of a Table.
type Option func(*limits)

// WithRecords sets the most completion records kept; the default is 65536.
func WithMaxRecords(n int) Option {
	return func(l *limits) { l.records = n }
}

// WithBytes sets the most bytes of answers kept; the default is 16 MiB.
func WithMaxBytes(n int) Option {
	return func(l *limits) { l.bytes = n }
}

// WithSessions sets the most sessions kept; the default is 32768.
func WithMaxSessions(n int) Option {
	return func(l *limits) { l.sessions = n }
}

// WithIdle sets how long an unused session is kept; the default is 10 minutes.
func WithIdleTimeout(span clock.Millis) Option {
	return func(l *limits) { l.idleTimeout = span }
}
