package depot

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cuminhollow.example/portage"
)

// The reasons for rejections and unknown outcomes.
const (
	reasonUnknownKind        = "unknown-kind"
	reasonRetiredKind        = "retired-kind"
	reasonBodyTooLarge       = "body-too-large"
	reasonBodyIncomplete     = "body-incomplete"
	reasonBadTicket          = "bad-ticket"
	reasonBadTimeLeft        = "bad-time-left"
	reasonUnknownRun         = "unknown-run"
	reasonOverload           = "overload"
	reasonBusy               = "busy"
	reasonDownstreamOverload = "onward-overload"
	reasonNoTriesLeft        = "no-tries-left"
	reasonExpired            = "expired"
	reasonLeaving            = "leaving"
	reasonStarting           = "starting"
	reasonUnreachable        = "unreachable"
	reasonNoVM               = "no-vm"
	reasonRefused            = "refused"
	reasonForgotten          = "forgotten"
	reasonStillRunning       = "still-running"
	reasonAnswerLost         = "answer-lost"
	reasonCancelled          = "cancelled"
	reasonDamaged            = "damaged"
	reasonPanic              = "panic"
	reasonMemory             = "memory"
)

// defaultRetryAfter is the Retry-After header of responses with status 503, in
// seconds.
const defaultRetryAfter = 1

// problem is the body of a response that the node itself generates, in the
// problem details format of RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Kind    string `json:"kind,omitempty"`
	Rank    *int   `json:"rank,omitempty"`
	Request string `json:"request,omitempty"`
	Ticket  string `json:"ticket,omitempty"`
}

func (p *problem) write(w http.ResponseWriter) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(HeaderOutcome, p.Outcome)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(defaultRetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// HTTPStatus returns the HTTP status for an outcome other than
// portage.OutcomeAnswered and its reason.
func HTTPStatus(o portage.Outcome, reason string) int {
	switch {
	case o == portage.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case reason == reasonUnknownKind || reason == reasonBadTicket || reason == reasonBodyIncomplete || reason == reasonBadTimeLeft:
		return http.StatusBadRequest
	case reason == reasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case reason == reasonRetiredKind:
		return http.StatusGone
	case reason == reasonUnknownRun:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
