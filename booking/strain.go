package booking

import (
	"math"

	"cuminhollow.example/clock"
)

// Parameters of strain.
const (
	// strainWeight is the least weight of one onward call's answer.
	strainWeight = 0.1
	// strainMemory is the span after which earlier answers count by a third only,
	// in milliseconds: rare answers have more weight each.
	strainMemory clock.Millis = 500
	// strainAge is the same where no answer comes at all.
	strainAge clock.Millis = 3 * clock.Second
)

// strain estimates the share of the onward calls of an upstream that found a
// service further down full. The zero value is none.
type strain struct {
	// share is from 0 to 1, as of at.
	share float64
	at    clock.Millis
}

// note learns what the answer of one onward call tells, from 0 to 1.
func (s *strain) note(now clock.Millis, share float64) {
	weight := max(strainWeight, 1-fade(now-s.at, strainMemory))
	s.share += weight * (min(max(share, 0), 1) - s.share)
	s.at = now
}

// now returns the share at a time, from 0 to 1.
func (s *strain) now(now clock.Millis) float64 {
	return s.share * fade(now-s.at, strainAge)
}

// fade returns what is left of one after a span.
func fade(span, age clock.Millis) float64 {
	return math.Exp(-float64(max(0, span)) / float64(age))
}
