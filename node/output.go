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
	lineQueue = 256
	// dropReport is how often the lines left out are counted in the log.
	dropReport = time.Second
	// flushTimeout bounds the wait for the output at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// output writes lines without ever holding up the caller: what exceeds the
// rate, or the speed of the reader, is left out and counted. It implements
// zerolog.LevelWriter.
type output struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	// left counts the lines left out since the start.
	left atomic.Int64
	// last receives a channel that is closed when the lines before it are
	// written.
	last chan chan struct{}
}

// newOutput starts to write to out.
func newOutput(out io.Writer) *output {
	o := &output{
		lines: make(chan []byte, lineQueue),
		limit: newLimiter(),
		last:  make(chan chan struct{}),
	}
	go o.run(out)
	return o
}

func newLimiter() *rate.Limiter { return rate.NewLimiter(linesPerSecond, linesBurst) }

// Write implements io.Writer.
func (o *output) Write(line []byte) (int, error) { return o.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel implements zerolog.LevelWriter.
func (o *output) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	spare := level > zerolog.DebugLevel || o.limit.Tokens() > linesBurst/2
	if level < zerolog.WarnLevel && (!spare || !o.limit.Allow()) {
		o.leaveOut()
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.leaveOut()
	}
	return len(line), nil
}

func (o *output) leaveOut() {
	o.dropped.Add(1)
	o.left.Add(1)
}

// flush writes what waits, for at most flushTimeout: the last lines of a process
// are those that tell why it ended.
func (o *output) flush() {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case o.last <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

// writeWaiting writes the lines that wait.
func (o *output) writeWaiting(w io.Writer) {
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
func (o *output) run(out io.Writer) {
	w := newLineWriter(out)
	log := zerolog.New(w).With().Timestamp().Logger()
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	for {
		select {
		case line := <-o.lines:
			// There is nowhere to report that the log cannot be written.
			_, _ = w.Write(line)
		case done := <-o.last:
			o.writeWaiting(w)
			close(done)
		case <-ticker.C:
			if n := o.dropped.Swap(0); n > 0 {
				log.Warn().Str("event", "log-dropped").Uint64("lines", n).Send()
			}
		}
	}
}
