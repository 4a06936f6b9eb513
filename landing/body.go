package landing

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// errReleased is the error of reading a body after the handler has returned.
var errReleased = errors.New("landing: request body read after the handler returned")

// requestBody is the body of a request that is read from a connection. The
// connection's next request cannot be read before its end.
type requestBody struct {
	conn   *conn
	source io.ReadCloser
	// sendContinue is set until the caller was told to send the body.
	sendContinue bool

	mu sync.Mutex
	// err is set once the body has ended: io.EOF at its end.
	err error
	// over is closed when err is set.
	over chan struct{}
}

func newRequestBody(c *conn, req *http.Request) *requestBody {
	_ = c.raw.SetReadDeadline(time.Now().Add(c.server.settings.limits().BodyTime))
	return &requestBody{conn: c, source: req.Body, sendContinue: expectsContinue(req), over: make(chan struct{})}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.sendContinue {
		b.sendContinue = false
		if _, err := io.WriteString(b.conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, b.end(err)
		}
	}
	n, err := b.source.Read(p)
	if err != nil {
		err = b.end(err)
	}
	return n, err
}

// Close implements io.Closer. The rest of the body stays unread.
func (*requestBody) Close() error { return nil }

// end records that the body has ended, and why.
func (b *requestBody) end(err error) error {
	b.err = err
	close(b.over)
	return err
}

// release ends the body when the handler has returned.
func (b *requestBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		_ = b.end(errReleased)
	}
}

// await waits until the body has ended and reports whether the connection can
// carry another request.
func (b *requestBody) await() bool {
	<-b.over
	return b.complete()
}

// complete reports whether the body was read to its end.
func (b *requestBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}
