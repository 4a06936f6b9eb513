package depot

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cuminhollow.example/portage"
)

// The reasons of refusals and unknown outcomes.
const (
	reasonNoKind      = "unknown-kind"
	reasonRetired     = "retired-kind"
	reasonTooLarge    = "body-too-large"
	reasonBadBody     = "body-incomplete"
	reasonBadTicket   = "bad-ticket"
	reasonBadTime     = "bad-time-left"
	reasonNoRun       = "unknown-run"
	reasonOverload    = "overload"
	reasonBusy        = "busy"
	reasonOnward      = "onward-overload"
	reasonTries       = "no-tries-left"
	reasonExpired     = "expired"
	reasonLeaving     = "leaving"
	reasonUnreachable = "unreachable"
	reasonNoVM        = "no-vm"
	reasonRefused     = "refused"
	reasonForgotten   = "forgotten"
	reasonRunning     = "still-running"
	reasonLost        = "answer-lost"
	reasonCancelled   = "cancelled"
	reasonDamaged     = "damaged"
)

// retryAfterDefault is sent with refusals that do not say more, in seconds.
const retryAfterDefault = 1

// problem is the body of an answer that the node makes itself, in the form of
// RFC 9457.
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
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterDefault))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// StatusOf returns the HTTP status of an outcome that is not an answer.
func StatusOf(o portage.Outcome, reason string) int {
	switch {
	case o == portage.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case reason == reasonNoKind || reason == reasonBadTicket || reason == reasonBadBody || reason == reasonBadTime:
		return http.StatusBadRequest
	case reason == reasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case reason == reasonRetired:
		return http.StatusGone
	case reason == reasonNoRun:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
