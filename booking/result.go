package booking

// Result is how a run on the upstream ended.
type Result uint8

// The results that a Desk learns from.
const (
	// ResultOK is a whole answer in time.
	ResultOK Result = iota + 1
	// ResultError is a whole answer in time that reports an error: most often an
	// onward call failed.
	ResultError
	// ResultOverload is a refusal by the upstream or an answer too late.
	ResultOverload
	// ResultFailed is a broken connection or a failed dial.
	ResultFailed
	// ResultCancelled is a run that the caller gave up; it says nothing about
	// the upstream.
	ResultCancelled
)
