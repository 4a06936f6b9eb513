package booking

import (
	"math"

	"cuminhollow.example/clock"
)

// Parameters of strain.
const (
	// strainWeight is the least weight of one onward call's answer.
	overloadMinWeight = 0.1
	// strainMemory is the span after which earlier answers count by a third only,
	// in milliseconds: rare answers have more weight each.
	overloadMemory clock.Millis = 500
	// strainAge is the same where no answer comes at all.
	overloadIdleMemory clock.Millis = 3 * clock.Second
)

// strain estimates the share of the onward calls of an upstream that found a
// service further down full. The zero value is none.
type overloadEstimate struct {
	// share is from 0 to 1, as of at.
	share     float64
	updatedAt clock.Millis
}

// note learns what the answer of one onward call tells, from 0 to 1.
func (s *overloadEstimate) observe(now clock.Millis, share float64) {
	weight := max(overloadMinWeight, 1-decay(now-s.updatedAt, overloadMemory))
	s.share += weight * (min(max(share, 0), 1) - s.share)
	s.updatedAt = now
}

// now returns the share at a time, from 0 to 1.
func (s *overloadEstimate) current(now clock.Millis) float64 {
	return s.share * decay(now-s.updatedAt, overloadIdleMemory)
}

// fade returns what is left of one after a span.
func decay(span, age clock.Millis) float64 {
	return math.Exp(-float64(max(0, span)) / float64(age))
}
