package landing

import (
	"bytes"
	"net/http"
	"strconv"
)

// maxJoinedBody is the size of the body up to which a response is written in one
// piece, in bytes.
const maxJoinedBody = 64 << 10

// response collects the response to one request. It implements
// http.ResponseWriter.
type response struct {
	header http.Header
	// status is 0 before WriteHeader.
	status int
	body   []byte
}

func newResponse() *response { return &response{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, b...)
	return len(b), nil
}

// closes reports whether the handler wants the connection closed.
func (r *response) closes() bool { return headerHasToken(r.header, "Connection", "close") }

// encode returns the head of the response, with the body if that is short.
// Otherwise the body is returned as rest.
func (r *response) encode(req *http.Request, closes bool) (head, rest []byte) {
	r.WriteHeader(http.StatusOK)
	body := r.body
	switch {
	case !allowsBody(r.status):
		r.header.Del("Content-Length")
		body = nil
	case req != nil && req.Method == http.MethodHead:
		body = nil
	default:
		r.header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.header.Del("Transfer-Encoding")
	r.header.Del("Connection")
	if closes {
		r.header.Set("Connection", "close")
	}
	var out bytes.Buffer
	out.Grow(512 + min(len(body), maxJoinedBody))
	out.WriteString("HTTP/1.1 ")
	out.WriteString(strconv.Itoa(r.status))
	out.WriteByte(' ')
	out.WriteString(http.StatusText(r.status))
	out.WriteString("\r\n")
	_ = r.header.Write(&out)
	out.WriteString("\r\n")
	if len(body) > maxJoinedBody {
		return out.Bytes(), body
	}
	out.Write(body)
	return out.Bytes(), nil
}

// allowsBody reports whether a response with a status may have a body.
func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
