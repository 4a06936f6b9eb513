package landing

import (
	"errors"
	"io"
)

// ErrLimit is returned by a LimitedReader whose limit is reached.
var ErrLimit = errors.New("landing: limit on the bytes to read is reached")

// LimitedReader reads from a source until a number of bytes is used up, and then
// fails with ErrLimit. It is not safe for concurrent use.
type LimitedReader struct {
	source io.Reader
	// left is the number of bytes that may still be read; negative for no limit.
	left int
	// exceeded is set once a read failed with ErrLimit.
	exceeded bool
}

// NewLimitedReader returns a reader that may read nothing until Allow is called.
func NewLimitedReader(source io.Reader) *LimitedReader { return &LimitedReader{source: source} }

// Allow sets the number of bytes that may be read from now on; negative for no
// limit.
func (r *LimitedReader) Allow(n int) { r.left = n }

// Exceeded reports whether a read failed with ErrLimit. Parsers may report another
// error instead.
func (r *LimitedReader) Exceeded() bool { return r.exceeded }

// Read implements io.Reader.
func (r *LimitedReader) Read(p []byte) (int, error) {
	switch {
	case r.left < 0:
		return r.source.Read(p)
	case r.left == 0:
		r.exceeded = true
		return 0, ErrLimit
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
