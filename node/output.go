package main

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst are the rate limit of lines below warning
	// level. Debug lines, which report ordinary successes, are dropped while no
	// more than half of the burst is available.
	linesPerSecond = 200
	linesBurst     = 400
	// lineQueueSize is the maximum number of lines queued for the output.
	lineQueueSize = 256
	// dropReportInterval is the interval between log lines that report dropped
	// lines.
	dropReportInterval = time.Second
	// flushTimeout bounds the time that flush waits when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// asyncWriter writes log lines in the background, so that logging never blocks
// the caller. It drops and counts lines that exceed the rate limit and lines
// that the output accepts too slowly. It implements zerolog.LevelWriter.
type asyncWriter struct {
	lines   chan []byte
	limiter *rate.Limiter
	// droppedUnreported counts the lines dropped since the last report in the
	// log.
	droppedUnreported atomic.Uint64
	// droppedTotal counts the lines dropped since the start of the process.
	droppedTotal atomic.Int64
	// flushRequests carries channels; each is closed when the lines queued
	// before it are written.
	flushRequests chan chan struct{}
}

// newAsyncWriter returns a writer and starts its goroutine, which writes to
// out.
func newAsyncWriter(out io.Writer) *asyncWriter {
	o := &asyncWriter{
		lines:         make(chan []byte, lineQueueSize),
		limiter:       newLimiter(),
		flushRequests: make(chan chan struct{}),
	}
	go o.run(out)
	return o
}

func newLimiter() *rate.Limiter { return rate.NewLimiter(linesPerSecond, linesBurst) }

// Write implements io.Writer. It treats the line as one of info level.
func (o *asyncWriter) Write(line []byte) (int, error) { return o.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It queues a copy of the line or
// drops it, and never fails.
func (o *asyncWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	permitted := level > zerolog.DebugLevel || o.limiter.Tokens() > linesBurst/2
	if level < zerolog.WarnLevel && (!permitted || !o.limiter.Allow()) {
		o.countDropped()
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.countDropped()
	}
	return len(line), nil
}

func (o *asyncWriter) countDropped() {
	o.droppedUnreported.Add(1)
	o.droppedTotal.Add(1)
}

// flush waits until the queued lines are written, for at most flushTimeout, so
// that the last lines of a process, which say why it ended, are not lost.
func (o *asyncWriter) flush() {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case o.flushRequests <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

// writeQueued writes the queued lines to w.
func (o *asyncWriter) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-o.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// run formats the queued lines, writes them to out and reports dropped lines.
// It never returns.
func (o *asyncWriter) run(out io.Writer) {
	w := newLineWriter(out)
	log := zerolog.New(w).With().Timestamp().Logger()
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-o.lines:
			// The error is ignored: there is no other place to report it.
			_, _ = w.Write(line)
		case done := <-o.flushRequests:
			o.writeQueued(w)
			close(done)
		case <-ticker.C:
			if n := o.droppedUnreported.Swap(0); n > 0 {
				log.Warn().Str("event", "log-dropped").Uint64("lines", n).Send()
			}
		}
	}
}
