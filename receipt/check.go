package receipt

import (
	"fmt"
	"net/http"
)

// Check returns an *Error of KindMalformed if the head of an answer breaks the protocol
// in a way that net/http's parser lets pass.
func Check(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return malformed(fmt.Errorf("version %q", res.Proto))
	case !IsFinal(res.StatusCode) && !isInterim(res.StatusCode):
		return malformed(fmt.Errorf("status %q", res.Status))
	}
	return nil
}

// IsFinal reports whether a status is one of a final answer.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isInterim reports whether a status is one of an interim answer. A change to another
// protocol is not asked for by any request, so that no answer can say it.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// maxStatus is the greatest status that HTTP defines the meaning of.
const maxStatus = 599

func malformed(err error) error { return &Error{Op: "check head", Kind: KindMalformed, Err: err} }
