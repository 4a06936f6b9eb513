package record

import "cuminhollow.example/clock"

// Verdict is the result of offering a document to a Store.
type Verdict string

// The verdicts of a Store.
const (
	// VerdictAccepted marks a document that became the current one.
	VerdictAccepted Verdict = "accepted"
	// VerdictSame marks a document that was already the current one.
	VerdictSame Verdict = "same"
	// VerdictOlder marks a document of a lower revision than the current one.
	VerdictOlder Verdict = "older"
	// VerdictConflict marks a document of the current revision with different
	// content. The document with the higher digest becomes or stays current.
	VerdictConflict Verdict = "conflict"
	// VerdictInvalid marks a document that Parse rejected.
	VerdictInvalid Verdict = "invalid"
)

// Change is one entry of the audit log.
type Change struct {
	// At is the time on the node's clock, in milliseconds.
	At clock.Millis `json:"at_ms"`
	// Key is the key of the document.
	Key string `json:"key"`
	// From is the revision that was current before, 0 when there was none. To is
	// the revision offered, 0 for an invalid document.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Digest is the short digest of the offered document.
	Digest string `json:"digest"`
	// Source is where the document came from: "platform" or a VM.
	Source string `json:"source"`
	// Verdict is the result of the offer.
	Verdict Verdict `json:"verdict"`
	// Reason explains the verdict. It is empty for an accepted document.
	Reason string `json:"reason,omitempty"`
}
