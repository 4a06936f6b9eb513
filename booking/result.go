package booking

// Result is how a run on the upstream ended.
type Result uint8

// Results passed to Controller.Done.
const (
	// ResultOK is a complete answer in time.
	ResultOK Result = iota + 1
	// ResultError is a complete answer in time that reports an error, most often
	// because a nested call failed.
	ResultError
	// ResultOverload is a refusal by the upstream or a late answer.
	ResultOverload
	// ResultFailed is a broken connection or a failed dial.
	ResultFailed
	// ResultCancelled is a run that the caller cancelled. It says nothing about
	// the upstream.
	ResultCancelled
)
