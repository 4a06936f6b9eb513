package main

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// maxLine is the longest line of a log that is read, in bytes.
const maxLineBytes = 64 << 10

// line is one event of a node's log.
type logLine struct {
	Time   time.Time         `json:"time"`
	Event  string            `json:"event"`
	ID     string            `json:"id"`
	Fields map[string]string `json:"fields"`
}

// number returns a field as a whole number; 0 when it is none.
func (l *logLine) intField(name string) int {
	n, err := strconv.Atoi(l.Fields[name])
	if err != nil {
		return 0
	}
	return n
}

// parseLine reads key=value pairs; what stands before the first pair, as other
// collectors put it there, is passed over. It reports whether it is an event.
func parseLine(text string) (*logLine, bool) {
	l := &logLine{Fields: make(map[string]string)}
	for text != "" {
		name, value, rest, ok := nextPair(text)
		text = rest
		if !ok {
			continue
		}
		switch name {
		case "time":
			// A line without a readable time is still part of the story; it is
			// put first.
			l.Time, _ = time.Parse(time.RFC3339Nano, value)
		case "event":
			l.Event = value
		case "id":
			l.ID = value
		default:
			l.Fields[name] = value
		}
	}
	return l, l.Event != ""
}

// nextPair cuts the first word off text and splits it at its equals sign. A
// value in quotes may hold spaces.
func nextPair(text string) (name, value, rest string, ok bool) {
	text = strings.TrimLeft(text, " \t")
	end := strings.IndexAny(text, " =")
	if end < 0 {
		return "", "", "", false
	}
	name = text[:end]
	if text[end] == ' ' {
		return "", "", text[end:], false
	}
	text = text[end+1:]
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		value, err = strconv.Unquote(quoted)
		return name, value, text[len(quoted):], err == nil
	}
	value, rest, _ = strings.Cut(text, " ")
	return name, value, rest, true
}

// readLines gives the events of all files, or of standard input when there are
// none, to take.
func forEachLine(c *cli.Command, files []string, take func(*logLine)) error {
	if len(files) == 0 {
		return scanLines(c.Root().Reader, take)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		err = scanLines(f, take)
		_ = f.Close()
		if err != nil {
			return trace.Wrap(err, "%s", name)
		}
	}
	return nil
}

func scanLines(in io.Reader, take func(*logLine)) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Text()); ok {
			take(l)
		}
	}
	return trace.Wrap(s.Err())
}
