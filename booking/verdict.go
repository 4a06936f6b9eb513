package booking

// Verdict is the decision on a call.
type Verdict uint8

// Verdicts of a Controller.
const (
	// VerdictStart means: run the call, then call Controller.Done.
	VerdictStart Verdict = iota + 1
	// VerdictQueued means: wait for Call.Decided.
	VerdictQueued
	// VerdictExpired refuses a call whose deadline has passed or cannot be met.
	VerdictExpired
	// VerdictShed refuses a call in favour of others because this upstream is
	// overloaded.
	VerdictShed
	// VerdictDownstreamOverload refuses a root call because downstream services
	// are overloaded.
	VerdictDownstreamOverload
	// VerdictBusy refuses a call that would wait longer than its maximum wait. It
	// may be sent to another node.
	VerdictBusy
	// VerdictClosed refuses a call because the upstream takes no new calls. It may
	// be sent to another node.
	VerdictClosed
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
	case VerdictClosed:
		return "closed"
	default:
		return "unknown"
	}
}
