package clock

import "time"

// System is a Clock that reads the monotonic time of the process. Create it
// with NewSystem.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at zero.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now returns the milliseconds since NewSystem.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.start))
}
