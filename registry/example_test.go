package registry_test

import (
	"fmt"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
)

// A node that knows no other one reads the platform itself.
func Example() {
	book := record.NewStore(clock.NewSystem())
	fleet := registry.NewFleet("kutch-a-1", "kutch-a", book.Snapshot())
	fmt.Println("reader:", fleet.IsWatcher(), "nodes:", fleet.Size())
	// Output:
	// reader: true nodes: 1
}
