package main

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst bound the log; ordinary successes are left
	// out when less than half of the burst is left.
	linesPerSecond = 200
	linesBurst     = 400
	// lineQueue is the number of lines that wait for the output.
	lineQueueSize = 256
	// dropReport is how often the lines left out are counted in the log.
	dropReportInterval = time.Second
	// flushTimeout bounds the wait for the output at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// output writes lines without ever holding up the caller: what exceeds the
// rate, or the speed of the reader, is left out and counted. It implements
// zerolog.LevelWriter.
type asyncWriter struct {
	lines             chan []byte
	limiter           *rate.Limiter
	droppedUnreported atomic.Uint64
	// left counts the lines left out since the start.
	droppedTotal atomic.Int64
	// last receives a channel that is closed when the lines before it are
	// written.
	flushRequests chan chan struct{}
}

// newOutput starts to write to out.
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

// Write implements io.Writer.
func (o *asyncWriter) Write(line []byte) (int, error) { return o.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter.
func (o *asyncWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	spare := level > zerolog.DebugLevel || o.limiter.Tokens() > linesBurst/2
	if level < zerolog.WarnLevel && (!spare || !o.limiter.Allow()) {
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

// flush writes what waits, for at most flushTimeout: the last lines of a process
// are those that tell why it ended.
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

// writeWaiting writes the lines that wait.
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

// run formats and writes the lines.
func (o *asyncWriter) run(out io.Writer) {
	w := newLineWriter(out)
	log := zerolog.New(w).With().Timestamp().Logger()
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-o.lines:
			// There is nowhere to report that the log cannot be written.
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
