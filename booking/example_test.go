package booking_test

import (
	"fmt"

	"cuminhollow.example/booking"
)

// An upstream with one slot runs one call at a time: the second call waits and
// starts when the first one ends.
func Example() {
	controller := booking.NewController(1)
	urgent := booking.ClassOf(true, 0)
	first := booking.NewCall(urgent, "seal", "kutch", 1000)
	second := booking.NewCall(urgent, "seal", "kutch", 1000)

	fmt.Println(controller.Admit(0, first))
	fmt.Println(controller.Admit(1, second))
	controller.Done(20, first, booking.ResultOK)
	fmt.Println(<-second.Decided())
	// Output:
	// start
	// queued
	// start
}
