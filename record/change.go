package record

import "cuminhollow.example/clock"

// Verdict is what a Book did with an offered document.
type Verdict string

// The verdicts of a Book.
const (
	// VerdictAccepted marks a document that is now in force.
	VerdictAccepted Verdict = "accepted"
	// VerdictSame marks a document that was in force already.
	VerdictSame Verdict = "same"
	// VerdictOlder marks a document of a lower revision than the one in force.
	VerdictOlder Verdict = "older"
	// VerdictConflict marks a document of the revision in force with other
	// content. The one with the higher digest is in force afterwards.
	VerdictConflict Verdict = "conflict"
	// VerdictInvalid marks a document that Parse refused.
	VerdictInvalid Verdict = "invalid"
)

// Change is one entry of the audit trail.
type Change struct {
	// At is the time on the node's clock.
	At clock.Millis `json:"at_ms"`
	// Key names the document.
	Key string `json:"key"`
	// From and To are revisions; From is 0 when there was none.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Digest is the short digest of the document offered.
	Digest string `json:"digest"`
	// Source says where the document came from: "platform" or a VM.
	Source string `json:"source"`
	// Verdict says whether the document came into force.
	Verdict Verdict `json:"verdict"`
	// Reason is empty for an accepted document.
	Reason string `json:"reason,omitempty"`
}
