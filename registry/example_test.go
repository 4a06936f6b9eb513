package registry_test

import (
	"fmt"

	"cuminhollow.example/clock"
	"cuminhollow.example/record"
	"cuminhollow.example/registry"
)

// A node that knows no other node watches the platform itself.
func Example() {
	store := record.NewStore(clock.NewSystem())
	fleet := registry.NewFleet("kutch-a-1", "kutch-a", store.Snapshot())
	fmt.Println("watcher:", fleet.IsWatcher(), "nodes:", fleet.Size())
	// Output:
	// watcher: true nodes: 1
}
