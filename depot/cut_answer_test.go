package depot

import (
	"net/http"
	"testing"

	"cuminhollow.example/portage"
)

// TestAnswerCutAnywhere has an upstream that stops anywhere in its answer and closes the
// connection.
func TestAnswerCutAnywhere(t *testing.T) {
	for name, answer := range map[string]string{
		"length":               answerText("200", "X: y"),
		"chunks":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"interim answer first": "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + answerText("200"),
		"refusal":              answerText("503", HeaderOutcome+": not-run"),
	} {
		t.Run(name, func(t *testing.T) {
			for end := range len(answer) + 1 {
				u := newHTTPUpstream(upstreamSettings{Address: startRawUpstream(t, answer[:end]), Slots: 1, Connections: 1})
				got := u.Run(t.Context(), newRun(&portage.Call{Method: http.MethodPost, Path: "/"}, "run", 2000))
				if (got.Outcome != portage.OutcomeUnknown) != (end == len(answer)) {
					t.Errorf("cut after %q: got %s %d %q", answer[:end], got.Outcome, got.Status, got.Body)
				}
			}
		})
	}
}
