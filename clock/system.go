package clock

import "time"

// System is the process's monotonic clock. Create it with NewSystem.
type System struct {
	start time.Time
}

// NewSystem returns a clock that reads zero now.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now returns the milliseconds since NewSystem.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.start))
}
