package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fakeNode starts a server that issues tickets and handles calls with h. It
// returns the address. Outcomes of tickets are always not-run.
func fakeNode(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(ticketPath, func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodPost {
			w.Header().Set(headerTicket, "vm/1/1/1")
			return
		}
		writeAnswer(w, outcomeNotRun, http.StatusServiceUnavailable, `{"reason":"refused"}`)
	})
	mux.HandleFunc("/", h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func writeAnswer(w http.ResponseWriter, outcome string, status int, body string) {
	w.Header().Set(headerOutcome, outcome)
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, body)
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestDo sends work through two nodes. The first one answers, refuses, closes
// the connection or cuts its answer short; the second one answers.
func TestDo(t *testing.T) {
	good := func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, outcomeAnswered, http.StatusOK, "sealed") }
	refusing := func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, outcomeNotRun, http.StatusServiceUnavailable, `{"reason":"overload"}`)
	}
	short := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, outcomeAnswered)
		w.Header().Set("Content-Length", "100")
		_, _ = fmt.Fprint(w, "part")
	}
	tests := []struct {
		name       string
		first      http.HandlerFunc
		idempotent bool
		opts       []Option
		// calls is the number of calls that the nodes receive together.
		calls int64
		want  string
		kind  ErrorKind
	}{
		{name: "answered", first: good, calls: 1, want: "sealed"},
		{name: "refused", first: refusing, calls: 1, kind: KindNotRun},
		{name: "lost with a ticket", first: abort, calls: 2, want: "sealed"},
		{name: "lost without a ticket", first: abort, opts: []Option{WithoutTickets()}, calls: 1, kind: KindUnknown},
		{name: "lost and idempotent", first: abort, idempotent: true, calls: 2, want: "sealed"},
		{name: "cut short", first: short, calls: 2, want: "sealed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			count := func(h http.HandlerFunc) http.HandlerFunc {
				return func(w http.ResponseWriter, q *http.Request) {
					calls.Add(1)
					h(w, q)
				}
			}
			c := New([]string{fakeNode(t, count(tt.first)), fakeNode(t, count(good))}, tt.opts...)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := c.Do(ctx, Work{Kind: "seal", Idempotent: tt.idempotent})
			var e *Error
			switch {
			case tt.kind != 0 && (!errors.As(err, &e) || e.Kind != tt.kind):
				t.Errorf("got %v, want kind %s", err, tt.kind)
			case tt.kind == 0 && (err != nil || string(a.Body) != tt.want):
				t.Errorf("got %+v, %v, want %q", a, err, tt.want)
			}
			if got := calls.Load(); got != tt.calls {
				t.Errorf("calls: got %d, want %d", got, tt.calls)
			}
		})
	}
}

// TestNoNode checks that work counts as not run if no node listens.
func TestNoNode(t *testing.T) {
	c := New([]string{"127.0.0.1:1"}, WithoutTickets())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, Work{Kind: "seal"})
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindNotRun {
		t.Errorf("got %v, want kind %s", err, KindNotRun)
	}
}

// TestEndedBeforeSending checks that work counts as not run if the context ends
// before there is a connection, as nothing was sent.
func TestEndedBeforeSending(t *testing.T) {
	c := New([]string{fakeNode(t, abort)}, WithoutTickets())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Do(ctx, Work{Kind: "seal"})
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindNotRun {
		t.Errorf("got %v, want kind %s", err, KindNotRun)
	}
}

// TestOutcome checks that Outcome switches to the next node and returns an
// *Error with the ticket.
func TestOutcome(t *testing.T) {
	c := New([]string{"127.0.0.1:1", fakeNode(t, abort)})
	_, err := c.Outcome(t.Context(), "seal", "vm/1/1/1")
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindNotRun || e.Ticket != "vm/1/1/1" {
		t.Errorf("got %v, want kind %s with its ticket", err, KindNotRun)
	}
}
