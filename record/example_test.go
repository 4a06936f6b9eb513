package record_test

import (
	"fmt"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// A document of an older revision does not replace the current one.
func Example() {
	body := func(revision, rank int) []byte {
		return fmt.Appendf(nil, "schema: 1\nrevision: %d\nname: seal\nservice: sealing\nrank: %d\ntarget_ms: 800\ntries: 3\n",
			revision, rank)
	}
	store := record.NewStore(clock.NewSystem())
	fmt.Println(store.Offer("records/seal", body(2, 0), "platform").Verdict)
	fmt.Println(store.Offer("records/seal", body(1, 5), "kutch-a-1").Verdict)
	fmt.Println("rank", store.Snapshot().Policy("seal").Rank())
	// Output:
	// accepted
	// older
	// rank 0
}
