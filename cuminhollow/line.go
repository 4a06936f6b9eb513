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

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 64 << 10

// logLine is one event of a node's log.
type logLine struct {
	Time   time.Time         `json:"time"`
	Event  string            `json:"event"`
	ID     string            `json:"id"`
	Fields map[string]string `json:"fields"`
}

// intField returns the value of a field as an integer, or 0 if the field is
// missing or not an integer.
func (l *logLine) intField(name string) int {
	n, err := strconv.Atoi(l.Fields[name])
	if err != nil {
		return 0
	}
	return n
}

// parseLine parses the key=value pairs of a line. It skips words that are not
// pairs, such as a prefix added by a log collector. It reports whether the line
// has an event.
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
			// A line whose time can't be parsed is kept: the zero time sorts it
			// first.
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
// quoted value may contain spaces. It reports whether the word is a valid pair.
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

// forEachLine calls visit for each event in the files, in order, or in standard
// input if there are no files.
func forEachLine(c *cli.Command, files []string, visit func(*logLine)) error {
	if len(files) == 0 {
		return scanLines(c.Root().Reader, visit)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		err = scanLines(f, visit)
		_ = f.Close()
		if err != nil {
			return trace.Wrap(err, "%s", name)
		}
	}
	return nil
}

// scanLines calls visit for each event in the lines of in. It fails at a line
// longer than maxLineBytes.
func scanLines(in io.Reader, visit func(*logLine)) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Text()); ok {
			visit(l)
		}
	}
	return trace.Wrap(s.Err())
}
