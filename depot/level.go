package depot

import (
	"cuminhollow.example/booking"
	"cuminhollow.example/portage"
)

// levelOf reads the admission level of an answer; a value out of range means
// that nothing is refused.
func admissionLevel(a *portage.Answer) booking.Class {
	return booking.Class(min(a.Level, booking.NumClasses))
}
