package claim

import "cuminhollow.example/clock"

// Default limits of a Table.
const (
	defaultRecords  = 1 << 16
	defaultBytes    = 16 << 20
	defaultSessions = 1 << 15
	// defaultIdleTimeout is how long an unused session is kept, in milliseconds.
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

// WithMaxRecords sets the maximum number of completion records; the default is
// 65536.
func WithMaxRecords(n int) Option {
	return func(l *limits) { l.records = n }
}

// WithMaxBytes sets the maximum total size of stored answers, in bytes; the
// default is 16 MiB.
func WithMaxBytes(n int) Option {
	return func(l *limits) { l.bytes = n }
}

// WithMaxSessions sets the maximum number of sessions; the default is 32768.
func WithMaxSessions(n int) Option {
	return func(l *limits) { l.sessions = n }
}

// WithIdleTimeout sets how long an unused session is kept, in milliseconds; the
// default is 10 minutes.
func WithIdleTimeout(span clock.Millis) Option {
	return func(l *limits) { l.idleTimeout = span }
}
