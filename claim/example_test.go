package claim_test

import (
	"fmt"

	"cuminhollow.example/claim"
	"cuminhollow.example/clock"
)

// A ticket that is claimed twice runs once. The second claim returns the stored
// answer.
func Example() {
	size := func(s string) int { return len(s) }
	table := claim.NewTable("kutch-a-1", 7, clock.NewSystem(), size)
	session := table.OpenSession("dangs-b-2", 3)
	ticket := claim.NewIssuer("kutch-a-1", 7, session).Next()

	if _, ok := table.Claim(ticket).(claim.Run[string]); ok {
		table.Finish(ticket, "sealed")
	}
	switch r := table.Claim(ticket).(type) {
	case claim.Done[string]:
		fmt.Println("stored answer:", r.Answer)
	default:
		fmt.Printf("%T\n", r)
	}
	// Output:
	// stored answer: sealed
}
