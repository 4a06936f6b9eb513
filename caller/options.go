package caller

import "net/http"

// Option configures a Caller.
type Option func(*Caller)

// WithClient sets the HTTP client. The default has its own connection pool and
// no timeout other than that of the context. With another one, an answer without
// a length counts as lost unless its connection is of type *receipt.Conn.
func WithClient(client *http.Client) Option {
	return func(c *Caller) { c.client = client }
}

// WithName sets the name under which nodes account for the caller's share of
// the capacity, if their settings allow it. By default no name is sent.
func WithName(name string) Option {
	return func(c *Caller) { c.name = name }
}

// WithoutTickets sends non-idempotent work without taking a ticket first. That
// saves a round trip, but the outcome stays unknown if the entry node fails. By
// default a ticket is taken.
func WithoutTickets() Option {
	return func(c *Caller) { c.takeTickets = false }
}
