package ledger

import "sync/atomic"

// Account holds the extra tries that one request may spend on one VM. It is
// safe for concurrent use. The zero value has no tries; a nil account too.
type Account struct {
	// balance is never negative.
	balance atomic.Int64
}

// NewAccount returns an account with extra tries; a negative number is zero.
func NewAccount(extra int) *Account {
	a := new(Account)
	a.balance.Store(int64(max(extra, 0)))
	return a
}

// Balance returns the tries left.
func (a *Account) Balance() int {
	if a == nil {
		return 0
	}
	return int(a.balance.Load())
}

// Spend takes one try and reports whether there was one.
func (a *Account) Spend() bool {
	return a.take(func(balance int64) int64 { return min(balance, 1) }) == 1
}

// Grant moves half of the balance, rounded up, to an onward call.
func (a *Account) Grant() *Grant {
	size := a.take(func(balance int64) int64 { return (balance + 1) / 2 })
	return &Grant{account: a, size: size}
}

// Close empties the account and returns what was left.
func (a *Account) Close() int {
	return int(a.take(func(balance int64) int64 { return balance }))
}

func (a *Account) take(part func(int64) int64) int64 {
	if a == nil {
		return 0
	}
	for {
		balance := a.balance.Load()
		n := part(balance)
		if a.balance.CompareAndSwap(balance, balance-n) {
			return n
		}
	}
}
