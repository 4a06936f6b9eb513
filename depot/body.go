package depot

import (
	"errors"
	"io"
	"net/http"

	"cuminhollow.example/ledger"
)

const (
	// defaultBodyMemory is the memory for bodies if the settings name no memory of
	// the VM, in bytes.
	defaultBodyMemory = 64 << 20
	// bodyMemoryShare is the share of the VM's memory for bodies.
	bodyMemoryShare = 0.25
	// bodyCopies is the number of copies of a body that its entry holds: the body
	// itself, the encoded frame and what waits to be written.
	bodyCopies = 3
	// bodyStep is the size of the pieces in which a body of unknown length is read,
	// in bytes.
	bodyStep = 32 << 10
)

// BodyReader reads the bodies of requests as far as the memory for them allows.
// Create it with NewBodyReader.
type BodyReader struct {
	memory *ledger.Bytes
}

// NewBodyReader returns a reader that takes its memory from a budget.
func NewBodyReader(memory *ledger.Bytes) *BodyReader { return &BodyReader{memory: memory} }

// Body is the body of a request, with the memory that is reserved for it.
type Body struct {
	bytes    []byte
	memory   *ledger.Bytes
	reserved int
}

// Bytes returns the content of the body.
func (b *Body) Bytes() []byte { return b.bytes }

// Release frees the memory of the body, once nothing uses its content any more.
func (b *Body) Release() {
	b.memory.Release(b.reserved)
	b.reserved = 0
}

// reserve reserves memory for n more bytes and reports whether there is enough.
func (b *Body) reserve(n int) bool {
	if !b.memory.Reserve(n * bodyCopies) {
		return false
	}
	b.reserved += n * bodyCopies
	return true
}

// Read reads the body of a request, up to a limit in bytes. When that fails, it
// returns the reason for rejecting the request.
func (r *BodyReader) Read(w http.ResponseWriter, q *http.Request, limit int64) (*Body, string) {
	b := &Body{memory: r.memory}
	if reason := b.read(w, q, limit); reason != "" {
		b.Release()
		return nil, reason
	}
	return b, ""
}

func (b *Body) read(w http.ResponseWriter, q *http.Request, limit int64) string {
	if q.ContentLength > limit {
		return reasonBodyTooLarge
	}
	source := http.MaxBytesReader(w, q.Body, limit)
	if q.ContentLength < 0 {
		return b.readPieces(source)
	}
	if !b.reserve(int(q.ContentLength)) {
		return reasonMemory
	}
	b.bytes = make([]byte, q.ContentLength)
	_, err := io.ReadFull(source, b.bytes)
	if err == nil {
		// The end of the body is read too, so that the connection can carry another
		// request.
		_, err = source.Read(make([]byte, 1))
	}
	return bodyProblem(err)
}

// readPieces reads a body of unknown length and reserves memory as it grows.
func (b *Body) readPieces(source io.Reader) string {
	for {
		if len(b.bytes) == cap(b.bytes) {
			step := max(bodyStep, len(b.bytes))
			if !b.reserve(step) {
				return reasonMemory
			}
			b.bytes = append(make([]byte, 0, len(b.bytes)+step), b.bytes...)
		}
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err != nil {
			return bodyProblem(err)
		}
	}
}

// bodyProblem returns the reason for rejecting a request whose body ended with an
// error; empty at its regular end.
func bodyProblem(err error) string {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return ""
	case errors.As(err, &tooLarge):
		return reasonBodyTooLarge
	default:
		return reasonBodyIncomplete
	}
}
