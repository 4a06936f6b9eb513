package record_test

import (
	"fmt"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// An older revision that arrives late changes nothing.
func Example() {
	body := func(revision, rank int) []byte {
		return fmt.Appendf(nil, "schema: 1\nrevision: %d\nname: seal\nservice: sealing\nrank: %d\ntarget_ms: 800\ntries: 3\n",
			revision, rank)
	}
	book := record.NewStore(clock.NewSystem())
	fmt.Println(book.Offer("records/seal", body(2, 0), "platform").Verdict)
	fmt.Println(book.Offer("records/seal", body(1, 5), "kutch-a-1").Verdict)
	fmt.Println("rank", book.Snapshot().Policy("seal").Rank())
	// Output:
	// accepted
	// older
	// rank 0
}
