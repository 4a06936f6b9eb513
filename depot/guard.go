package depot

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"cuminhollow.example/clock"
	"github.com/rs/zerolog"
)

// panicPause is the pause of a loop after a panic.
const panicPause = time.Second

// guard keeps a panic in one part of the node from ending the process. A panic
// while a call is handled ends that call, one on a connection ends the
// connection, and one in a loop ends the current round. Each is logged with its
// stack and counted. Panics outside these parts end the process.
type guard struct {
	log     zerolog.Logger
	metrics *metrics
}

// recovered logs and counts a panic.
func (g *guard) recovered(part string, value any, stack []byte) {
	g.metrics.recordPanic(part)
	g.log.Error().Str("event", "panic").Str("part", part).Interface("panic", value).Bytes("stack", stack).Send()
}

// run calls f and reports whether it returned without a panic.
func (g *guard) run(part string, f func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			g.recovered(part, v, debug.Stack())
		}
	}()
	f()
	return true
}

// loop calls f again and again until ctx ends, with a pause after a panic.
func (g *guard) loop(ctx context.Context, part string, f func()) error {
	for ctx.Err() == nil {
		if !g.run(part, f) {
			clock.Sleep(ctx, panicPause)
		}
	}
	return nil
}

// handler returns an HTTP handler that answers 502 when h panics before it has
// written a response.
func (g *guard) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		tracked := &trackedWriter{ResponseWriter: w}
		defer func() {
			v := recover()
			err, _ := v.(error)
			switch {
			case v == nil:
				return
			case errors.Is(err, http.ErrAbortHandler):
				panic(v)
			}
			g.recovered("frontend", v, debug.Stack())
			if tracked.written {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusBadGateway)
		}()
		h.ServeHTTP(tracked, q)
	})
}

// trackedWriter records whether a response has begun.
type trackedWriter struct {
	http.ResponseWriter
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackedWriter) WriteHeader(status int) {
	w.written = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackedWriter) Write(b []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
