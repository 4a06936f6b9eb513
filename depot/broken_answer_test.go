package depot

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cuminhollow.example/portage"
	"cuminhollow.example/record"
)

// sendRaw writes a text in place of an answer, and closes the connection.
func sendRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		raw, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = raw.Write([]byte(text))
		_ = raw.Close()
	}
}

// startRawUpstream starts an upstream that answers each call with a text, and closes the
// connection. It returns the address.
func startRawUpstream(t *testing.T, text string) string {
	t.Helper()
	s := httptest.NewServer(sendRaw(text))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// answerText returns a whole answer with a status and further lines in its head.
func answerText(status string, lines ...string) string {
	return "HTTP/1.1 " + status + " X\r\n" + strings.Join(append(lines, ""), "\r\n") + "Content-Length: 5\r\n\r\nhello"
}

// brokenAnswer is an answer that must not be passed on.
type brokenAnswer struct{ name, answer string }

// checkBroken has an upstream that gives one of the answers. It must not be passed on,
// neither as an answer nor as a refusal.
func checkBroken(t *testing.T, answers []brokenAnswer) {
	t.Helper()
	for _, tt := range answers {
		t.Run(tt.name, func(t *testing.T) {
			u := newHTTPUpstream(upstreamSettings{Address: startRawUpstream(t, tt.answer), Slots: 1, Connections: 1})
			got := u.Run(t.Context(), newRun(&portage.Call{Method: http.MethodPost, Path: "/"}, "run", 2000))
			if got.Outcome != portage.OutcomeUnknown || !got.Reached {
				t.Errorf("got %s %d %q, want %s", got.Outcome, got.Status, got.Body, portage.OutcomeUnknown)
			}
		})
	}
}

// TestBrokenStatusLine has answers whose status is none of an answer, or whose version is
// another one.
func TestBrokenStatusLine(t *testing.T) {
	whole := answerText("200")
	checkBroken(t, []brokenAnswer{
		{"status 000", answerText("000")},
		{"status 000 without a length", "HTTP/1.1 000 X\r\n\r\nhello"},
		{"status 000 that says not run", answerText("000", HeaderOutcome+": not-run")},
		{"status 099", answerText("099")},
		{"status with a sign", answerText("+20")},
		{"status 600", answerText("600")},
		{"status 999", answerText("999")},
		{"other protocol that was not asked for", "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + whole},
		{"version 2", strings.Replace(whole, "HTTP/1.1", "HTTP/2.0", 1)},
		{"version 2 without a length", "HTTP/2.0 200 OK\r\n\r\na part"},
	})
}

// TestBrokenAnswersAtCallers checks what a caller gets when its upstream's answer is not
// well-formed.
func TestBrokenAnswersAtCallers(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":      answerText("000"),
		"other protocol":  answerText("101"),
		"blank in a name": answerText("200", "X Y: z"),
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, sendRaw(answer))
			res, p := send(t, cluster.entry.settings.listen.Callers, http.MethodPost, "/", "burn", HeaderKind, "seal")
			if got, want := res.Header.Get(HeaderOutcome), "unknown"; got != want || res.StatusCode < http.StatusInternalServerError {
				t.Errorf("got %d, %q (%s), want %q", res.StatusCode, got, p.Reason, want)
			}
		})
	}
}

// fixedUpstream gives all calls the same result.
type fixedUpstream struct{ result RunResult }

// Run implements Upstream.
func (u fixedUpstream) Run(context.Context, *Run) RunResult { return u.result }

// TestBrokenAnswersOfNodes has an owner that passes on what is not well-formed, as nodes
// of earlier builds did. The caller must not get it, neither at once nor when it asks for
// the outcome of its ticket.
func TestBrokenAnswersOfNodes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		result RunResult
		want   string
	}{
		{"sound", RunResult{Status: http.StatusOK}, "answered"},
		{"status 000", RunResult{}, "unknown"},
		{"status 600", RunResult{Status: 600}, "unknown"},
		{"blank in a name", RunResult{Status: http.StatusOK, Header: []portage.Field{{Name: "X Y", Value: "z"}}}, "unknown"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.result.Outcome, tt.result.Reached, tt.result.Body = portage.OutcomeAnswered, true, []byte("hello")
			cluster := startClusterWith(t, []Option{WithUpstream(fixedUpstream{tt.result})}, http.NotFoundHandler())
			callers := cluster.entry.settings.listen.Callers
			res, _ := send(t, callers, http.MethodPost, "/", "burn", HeaderKind, "seal")
			if got := res.Header.Get(HeaderOutcome); got != tt.want {
				t.Errorf("call: got %d, %q, want %q", res.StatusCode, got, tt.want)
			}
			res, _ = send(t, callers, http.MethodGet, TicketPath, "", HeaderKind, "seal", HeaderTicket, res.Header.Get(HeaderTicket))
			if got := res.Header.Get(HeaderOutcome); got != tt.want {
				t.Errorf("ticket: got %d, %q, want %q", res.StatusCode, got, tt.want)
			}
		})
	}
}

// checkPlatformAnswer has a platform that answers a reading of its list with a head. It
// is used only if the head is sound.
func checkPlatformAnswer(t *testing.T, sound bool, start string, lines ...string) {
	t.Helper()
	const list = `{"index":1,"keys":[]}`
	answer := fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", start, strings.Join(append(lines, ""), "\r\n"), len(list), list)
	p := newPlatformClient([]string{startRawUpstream(t, answer)})
	if _, err := p.readChanges(t.Context(), 0, func(...record.RawDocument) {}); (err == nil) != sound {
		t.Errorf("got %v, want it used: %t", err, sound)
	}
}

// TestBrokenStatusLineOfPlatform has status lines that are none of an answer.
func TestBrokenStatusLineOfPlatform(t *testing.T) {
	for start, sound := range map[string]bool{"HTTP/1.1 200 OK": true, "HTTP/1.1 000 X": false, "HTTP/2.0 200 OK": false} {
		t.Run(start, func(t *testing.T) { checkPlatformAnswer(t, sound, start) })
	}
}

// TestBrokenFields has answers with lines in their heads that are no header fields.
func TestBrokenFields(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	whole := answerText("200")
	checkBroken(t, []brokenAnswer{
		{"blank in a name", answerText("200", "X Y: z")},
		{"blank after a name", answerText("200", "X : z")},
		{"tab in a name", answerText("200", "X\tY: z")},
		{"control byte in a name", answerText("200", "X\x01: z")},
		{"control byte in a value", answerText("200", "X: \x01")},
		{"empty name", answerText("200", ": z")},
		{"blank after the name of the length", head + "Content-Length : 9\r\n\r\na part"},
		{"blank before the name of the length", head + "X: y\r\n Content-Length: 9\r\n\r\na part"},
		{"blank after the name of the encoding", head + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"blank after the name of the encoding, with a length", answerText("200", "Transfer-Encoding : chunked")},
		{"blank in a name of a trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: z\r\n\r\n"},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early\r\nX Y: z\r\n\r\n" + whole},
		{"blank in a name of a refusal", answerText("503", "X Y: z", HeaderOutcome+": not-run")},
	})
}

// TestBrokenFieldsOfPlatform has lines that are no header fields.
func TestBrokenFieldsOfPlatform(t *testing.T) {
	for line, sound := range map[string]bool{"X: y": true, "X Y: z": false, "X\x01: z": false} {
		t.Run(line, func(t *testing.T) { checkPlatformAnswer(t, sound, "HTTP/1.1 200 OK", line) })
	}
}
