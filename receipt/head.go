package receipt

import (
	"bytes"
	"errors"
)

// Head checks the lines of the head of an answer for what net/http's parser joins or
// drops, so that Check cannot see it. The zero value is ready for the first line.
type Head struct {
	// begun is set once the status line was checked.
	begun bool
	// version10 is set if the answer has version 1.0, which knows no chunks.
	version10 bool
}

// Line checks the next line, with its line break. It reports whether the line is the
// empty one that ends the head. Its errors are of type *Error with KindMalformed.
func (h *Head) Line(line []byte) (last bool, err error) {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	switch {
	case !h.begun:
		h.begun = true
		h.version10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
	case len(line) == 0:
		return true, nil
	case line[0] == ' ' || line[0] == '\t':
		return false, malformed(errors.New("blank before the name of a field"))
	case h.version10 && isTransferEncoding(line):
		return false, malformed(errors.New("transfer encoding in version 1.0"))
	}
	return false, nil
}

// isTransferEncoding reports whether a line is a Transfer-Encoding field.
func isTransferEncoding(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(name, []byte("Transfer-Encoding"))
}
