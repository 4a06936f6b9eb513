package depot_test

import (
	"fmt"

	"cuminhollow.example/depot"
)

// ParseSettings reports all faults of the settings, each with its line.
func Example() {
	_, err := depot.ParseSettings("node.yaml", []byte("vm: kutch-a-1\nservise: sealing\n"))
	fmt.Println(err != nil)
	// Output:
	// true
}
