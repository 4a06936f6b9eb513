package ledger_test

import (
	"fmt"

	"cuminhollow.example/ledger"
)

// A request with three extra tries makes a nested call, which spends one of the
// two tries that were granted to it.
func Example() {
	account := ledger.NewAccount(3)
	grant := account.Grant()
	fmt.Println("granted", grant.Size(), "kept", account.Balance())

	nested := ledger.NewAccount(grant.Size())
	nested.Spend()
	grant.Return(nested.Close())
	fmt.Println("left", account.Balance())
	// Output:
	// granted 2 kept 1
	// left 2
}
