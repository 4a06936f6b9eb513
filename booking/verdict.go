package booking

// Verdict is the decision on a call.
type Verdict uint8

// The verdicts of a Desk.
const (
	// VerdictStart tells the caller to run the call and then to call Done.
	VerdictStart Verdict = iota + 1
	// VerdictQueued tells the caller to wait for Call.Decided.
	VerdictQueued
	// VerdictExpired refuses a call whose deadline has passed or cannot be
	// met.
	VerdictExpired
	// VerdictShed refuses a call in favour of others.
	VerdictShed
	// VerdictOnward refuses a first call because services further down are full.
	VerdictDownstreamOverload
	// VerdictBusy refuses a call that would wait longer than its patience; it
	// may be given to another desk.
	VerdictBusy
)

// String returns the name used in refusals and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictStart:
		return "start"
	case VerdictQueued:
		return "queued"
	case VerdictExpired:
		return "expired"
	case VerdictShed:
		return "overload"
	case VerdictDownstreamOverload:
		return "onward-overload"
	case VerdictBusy:
		return "busy"
	default:
		return "unknown"
	}
}
