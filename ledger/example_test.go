package ledger_test

import (
	"fmt"

	"cuminhollow.example/ledger"
)

// A request with three extra tries makes an onward call, which spends one of
// the two that were granted to it.
func Example() {
	account := ledger.NewAccount(3)
	grant := account.Grant()
	fmt.Println("granted", grant.Size(), "kept", account.Balance())

	onward := ledger.NewAccount(grant.Size())
	onward.Spend()
	grant.Return(onward.Close())
	fmt.Println("left", account.Balance())
	// Output:
	// granted 2 kept 1
	// left 2
}
