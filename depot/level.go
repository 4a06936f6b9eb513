package depot

import (
	"cuminhollow.example/booking"
	"cuminhollow.example/portage"
)

// admissionLevel returns the first class that the owner of an answer rejects. A
// value out of range means that it rejects none.
func admissionLevel(a *portage.Answer) booking.Class {
	return booking.Class(min(a.Level, booking.NumClasses))
}
