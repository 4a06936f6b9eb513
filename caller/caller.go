package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cuminhollow.example/clock"
	"cuminhollow.example/receipt"
)

// The headers and the ticket path of the nodes' HTTP interface.
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
	// minRetryPause is the mean pause before the first retry. The mean doubles
	// with each retry up to maxRetryPause; the pauses are random, from 0 to
	// twice the mean.
	minRetryPause = 10 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// maxResponseHeader bounds the header of a response, in bytes.
	maxResponseHeader = 64 << 10
)

// Caller sends work through a list of nodes. It is safe for concurrent use.
// Create it with New.
type Caller struct {
	entries     []string
	client      *http.Client
	name        string
	takeTickets bool
	// switches counts the switches to another entry node; modulo the number of
	// entries it is the index of the entry in use.
	switches atomic.Uint64
}

// New returns a caller that sends work through entries: the host:port addresses
// of nodes, nearest first. At least one is needed.
func New(entries []string, opts ...Option) *Caller {
	c := &Caller{
		entries: entries,
		client: &http.Client{Transport: &http.Transport{
			DialContext:            receipt.Dial(new(net.Dialer)),
			MaxResponseHeaderBytes: maxResponseHeader,
		}},
		takeTickets: true,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends w and returns the complete answer of the upstream, whatever its HTTP
// status. It returns an *Error if the work is refused, if the work may have run
// and its answer is lost, or if there is no answer by the end of ctx, which
// should have a deadline.
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

// DoTicket is like Do, but uses a ticket from Reserve. If the same work is sent
// again with the same ticket, it runs at most once and the answer is the same.
func (c *Caller) DoTicket(ctx context.Context, w Work, ticket string) (*Answer, error) {
	failure := &Error{Op: "do", Kind: KindNotRun, Ticket: ticket}
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
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
		failure.Err = err
		if sent {
			failure.Kind = KindUnknown
		}
		// Without a ticket, work that may have run must not be sent again.
		retryable := failure.Kind == KindNotRun || w.Idempotent || ticket != ""
		if !retryable || !clock.Sleep(ctx, rand.N(2*pause)) {
			return nil, failure
		}
	}
}

// Reserve gets a ticket for work of a kind from a node, without running
// anything. It returns an *Error if the node refuses, or if no node answers by
// the end of ctx.
func (c *Caller) Reserve(ctx context.Context, kind string) (string, error) {
	failure := &Error{Op: "reserve", Kind: KindNotRun}
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		entry := c.entry()
		r, _, err := c.roundTrip(ctx, entry, http.MethodPost, ticketPath, http.Header{headerKind: {kind}}, nil)
		switch {
		case err != nil:
			failure.Err = err
		case r.status == http.StatusOK && r.header.Get(headerTicket) != "":
			return r.header.Get(headerTicket), nil
		case r.status == http.StatusOK:
			failure.Err = errNoTicket
		default:
			failure.Reason = reasonOf(r.body)
			return "", failure
		}
		c.switchFrom(entry)
		if !clock.Sleep(ctx, rand.N(2*pause)) {
			return "", failure
		}
	}
}

// Outcome returns the answer to the work of a ticket, or an *Error. If the work
// has not run yet, calling Outcome makes sure that it never runs.
func (c *Caller) Outcome(ctx context.Context, kind, ticket string) (*Answer, error) {
	failure := &Error{Op: "outcome", Kind: KindUnknown, Ticket: ticket}
	h := http.Header{headerKind: {kind}, headerTicket: {ticket}}
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		entry := c.entry()
		r, _, err := c.roundTrip(ctx, entry, http.MethodGet, ticketPath, h, nil)
		if err == nil {
			return parseResponse("outcome", r, ticket)
		}
		failure.Err = err
		c.switchFrom(entry)
		if !clock.Sleep(ctx, rand.N(2*pause)) {
			return nil, failure
		}
	}
}

// entry returns the address of the entry node in use.
func (c *Caller) entry() string {
	return c.entries[c.switches.Load()%uint64(len(c.entries))]
}

// switchFrom makes the caller use the next node, unless a concurrent call has
// switched from entry already.
func (c *Caller) switchFrom(entry string) {
	n := c.switches.Load()
	if c.entries[n%uint64(len(c.entries))] == entry {
		c.switches.CompareAndSwap(n, n+1)
	}
}

// attempt sends the work through one node. It reports whether any part of the
// request may have been sent.
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

// response is the HTTP response of a node.
type response struct {
	status int
	header http.Header
	body   []byte
}

// errNoTicket reports an answer to a reservation that has no ticket.
var errNoTicket = errors.New("the answer has no ticket")

// errNoLength reports an answer without a length on a connection that does not tell an
// orderly end from a reset.
var errNoLength = errors.New("the answer has no length")

// roundTrip sends one HTTP request and reads its whole answer. The body cannot be
// rewound, which keeps the transport from sending the request again by itself.
// roundTrip reports whether the request got a connection: without one, no part of it
// was sent, whatever the error is.
func (c *Caller) roundTrip(ctx context.Context, entry, method, path string, h http.Header, body []byte) (response, bool, error) {
	var sent, showsEnd atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			sent.Store(true)
			_, ok := i.Conn.(*receipt.Conn)
			showsEnd.Store(ok)
		},
		Got1xxResponse: receipt.CheckInterim,
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
	if err := receipt.Check(res); err != nil {
		return response{}, true, err
	}
	if !receipt.HasLength(res) && !showsEnd.Load() {
		return response{}, true, errNoLength
	}
	content, err := io.ReadAll(res.Body)
	if err == nil {
		err = receipt.CheckTrailer(res)
	}
	return response{status: res.StatusCode, header: res.Header, body: content}, true, err
}

// parseResponse returns the upstream's answer from a node's response, or an
// *Error.
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

// reasonOf returns the reason in a problem document; empty if there is none.
func reasonOf(body []byte) string {
	var p struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Reason
}
