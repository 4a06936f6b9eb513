package receipt

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
)

// maxStatus is the greatest status of an answer.
const maxStatus = 599

// nameBytes are the bytes that the name of a header field may have.
const nameBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// Check returns an *Error of KindMalformed if the head of an answer breaks the protocol
// in a way that net/http's parser lets pass.
func Check(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return malformed(fmt.Errorf("version %q", res.Proto))
	case !IsFinal(res.StatusCode) && !isInterim(res.StatusCode):
		return malformed(fmt.Errorf("status %q", res.Status))
	}
	return checkNames(res.Header)
}

// CheckInterim is Check for an interim answer. It can be the Got1xxResponse hook of an
// httptrace.ClientTrace.
func CheckInterim(status int, header textproto.MIMEHeader) error {
	if !isInterim(status) {
		return malformed(fmt.Errorf("status %d", status))
	}
	return checkNames(http.Header(header))
}

// CheckTrailer is Check for the fields after the body, once that was read to its end.
func CheckTrailer(res *http.Response) error { return checkNames(res.Trailer) }

// IsFinal reports whether a status is one of a final answer.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// IsName reports whether a text may be the name of a header field.
func IsName(text string) bool { return text != "" && strings.Trim(text, nameBytes) == "" }

// isInterim reports whether a status is one of an interim answer. A change to another
// protocol is not asked for by any request, so that no answer can say it.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

func checkNames(h http.Header) error {
	for name := range h {
		if !IsName(name) {
			return malformed(fmt.Errorf("field name %q", name))
		}
	}
	return nil
}

func malformed(err error) error { return &Error{Op: "check head", Kind: KindMalformed, Err: err} }
