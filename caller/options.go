package caller

import "net/http"

// Option changes a Caller.
type Option func(*Caller)

// WithClient sets the HTTP client; the default has its own connections and no
// time limit but that of the context.
func WithClient(client *http.Client) Option {
	return func(c *Caller) { c.client = client }
}

// WithName sets the name under which nodes count the caller's share, where
// their settings allow it; the default is none.
func WithName(name string) Option {
	return func(c *Caller) { c.name = name }
}

// WithoutTickets sends non-idempotent work without taking a ticket first; the
// default takes one. It saves a round trip, but when the entry node is lost the
// outcome stays unknown.
func WithoutTickets() Option {
	return func(c *Caller) { c.takeTickets = false }
}
