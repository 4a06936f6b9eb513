package caller

import "net/http"

// Work is one call. The zero value of Method is POST and of Path is "/".
type Work struct {
	// Kind names the record by which the work is treated.
	Kind string
	// Method, Path and Header go to the upstream.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent says that running the work twice does no harm, so that no
	// ticket is needed.
	Idempotent bool
}

// Answer is the whole answer of the upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Ticket is that of non-idempotent work.
	Ticket string
}
