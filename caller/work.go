package caller

import "net/http"

// Work is a call to a service. An empty Method means POST, and an empty Path
// "/".
type Work struct {
	// Kind is the kind of work: the name of the record that says how nodes
	// treat it.
	Kind string
	// Method, Path and Header are those of the request to the upstream.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is set if it does no harm to run the work twice. No ticket is
	// taken for such work.
	Idempotent bool
}

// Answer is the complete answer of the upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Ticket is the ticket under which the work ran; empty if there was none.
	Ticket string
}
