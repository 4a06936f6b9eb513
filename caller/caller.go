package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cuminhollow.example/clock"
)

// The headers and the path of the nodes.
const (
	headerKind    = "Cuminhollow-Kind"
	headerOutcome = "Cuminhollow-Outcome"
	headerTicket  = "Cuminhollow-Ticket"
	headerCaller  = "Cuminhollow-Caller"
	ticketPath    = "/cuminhollow/tickets"
)

// The values of the outcome header.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
)

const (
	// pauseFirst is the wait before a node is asked again, doubled up to
	// pauseLimit, each with jitter.
	retryPauseMin = 10 * time.Millisecond
	retryPauseMax = 500 * time.Millisecond
)

// Caller sends work through the nodes that it was given. It is safe for
// concurrent use. Create it with New.
type Caller struct {
	entries     []string
	client      *http.Client
	name        string
	takeTickets bool
	// next counts entries that were turned away from.
	switches atomic.Uint64
}

// New returns a caller that goes through entries, the host:port addresses of
// nodes, nearest first.
func New(entries []string, opts ...Option) *Caller {
	c := &Caller{entries: entries, client: &http.Client{Transport: &http.Transport{}}, takeTickets: true}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends w and returns the whole answer, whatever its status. It returns an
// *Error when there is none by the end of ctx, which should have a deadline.
func (c *Caller) Do(ctx context.Context, w Work) (*Answer, error) {
	ticket := ""
	if !w.Idempotent && c.takeTickets {
		t, err := c.Reserve(ctx, w.Kind)
		if err != nil {
			return nil, err
		}
		ticket = t
	}
	return c.DoTicket(ctx, w, ticket)
}

// DoTicket is Do with a ticket of Reserve. Sending the same work with the same
// ticket again runs it at most once and brings the same answer.
func (c *Caller) DoTicket(ctx context.Context, w Work, ticket string) (*Answer, error) {
	fault := &Error{Op: "do", Kind: KindNotRun, Ticket: ticket}
	for pause := retryPauseMin; ; pause = min(2*pause, retryPauseMax) {
		entry := c.entry()
		a, sent, err := c.attempt(ctx, entry, w, ticket)
		if err == nil {
			return a, nil
		}
		var e *Error
		if errors.As(err, &e) {
			return nil, err
		}
		c.switchFrom(entry)
		fault.Err = err
		if sent {
			fault.Kind = KindUnknown
		}
		// Without a ticket, work that may have run must not be sent again.
		again := fault.Kind == KindNotRun || w.Idempotent || ticket != ""
		if !again || !clock.Sleep(ctx, rand.N(2*pause)) {
			return nil, fault
		}
	}
}

// Reserve takes a ticket for work of a kind, which runs nothing.
func (c *Caller) Reserve(ctx context.Context, kind string) (string, error) {
	fault := &Error{Op: "reserve", Kind: KindNotRun}
	for pause := retryPauseMin; ; pause = min(2*pause, retryPauseMax) {
		entry := c.entry()
		r, _, err := c.roundTrip(ctx, entry, http.MethodPost, ticketPath, http.Header{headerKind: {kind}}, nil)
		switch {
		case err != nil:
			fault.Err = err
		case r.status == http.StatusOK:
			return r.header.Get(headerTicket), nil
		default:
			fault.Reason = reasonOf(r.body)
			return "", fault
		}
		c.switchFrom(entry)
		if !clock.Sleep(ctx, rand.N(2*pause)) {
			return "", fault
		}
	}
}

// Outcome tells what became of the work of a ticket: its answer, or an *Error.
// Asking for work that has not run yet refuses it for good.
func (c *Caller) Outcome(ctx context.Context, kind, ticket string) (*Answer, error) {
	fault := &Error{Op: "outcome", Kind: KindUnknown, Ticket: ticket}
	h := http.Header{headerKind: {kind}, headerTicket: {ticket}}
	for pause := retryPauseMin; ; pause = min(2*pause, retryPauseMax) {
		entry := c.entry()
		r, _, err := c.roundTrip(ctx, entry, http.MethodGet, ticketPath, h, nil)
		if err == nil {
			return parseResponse("outcome", r, ticket)
		}
		fault.Err = err
		c.switchFrom(entry)
		if !clock.Sleep(ctx, rand.N(2*pause)) {
			return nil, fault
		}
	}
}

// entry returns the node to go through.
func (c *Caller) entry() string {
	return c.entries[c.switches.Load()%uint64(len(c.entries))]
}

// turnFrom makes the caller use another node, unless a concurrent call did.
func (c *Caller) switchFrom(entry string) {
	n := c.switches.Load()
	if c.entries[n%uint64(len(c.entries))] == entry {
		c.switches.CompareAndSwap(n, n+1)
	}
}

// try sends the work through one node. It reports whether any of it may have
// been sent.
func (c *Caller) attempt(ctx context.Context, entry string, w Work, ticket string) (*Answer, bool, error) {
	h := w.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set(headerKind, w.Kind)
	if ticket != "" {
		h.Set(headerTicket, ticket)
	}
	method, path := w.Method, w.Path
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/"
	}
	r, sent, err := c.roundTrip(ctx, entry, method, path, h, w.Body)
	if err != nil {
		return nil, sent, err
	}
	a, err := parseResponse("do", r, ticket)
	return a, sent, err
}

// reply is what a node sent.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends one HTTP request. The body cannot be rewound, so that the
// transport does not send it a second time on its own. It reports whether a
// connection was given to the request: without one, nothing of it was sent,
// whatever the error.
func (c *Caller) roundTrip(ctx context.Context, entry, method, path string, h http.Header, body []byte) (response, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	q, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, nil)
	if err != nil {
		return response{}, false, err
	}
	q.Header = h
	if c.name != "" {
		q.Header.Set(headerCaller, c.name)
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	q.ContentLength = int64(len(body))
	res, err := c.client.Do(q)
	if err != nil {
		return response{}, sent.Load(), err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, header: res.Header, body: text}, true, err
}

// read turns a node's answer into the upstream's or into an *Error.
func parseResponse(op string, r response, ticket string) (*Answer, error) {
	if t := r.header.Get(headerTicket); t != "" {
		ticket = t
	}
	switch r.header.Get(headerOutcome) {
	case outcomeAnswered:
		return &Answer{Status: r.status, Header: r.header, Body: r.body, Ticket: ticket}, nil
	case outcomeNotRun:
		return nil, &Error{Op: op, Kind: KindNotRun, Reason: reasonOf(r.body), Ticket: ticket}
	default:
		return nil, &Error{Op: op, Kind: KindUnknown, Reason: reasonOf(r.body), Ticket: ticket}
	}
}

func reasonOf(body []byte) string {
	var p struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Reason
}
