package ledger

import "sync/atomic"

// Account holds the extra tries that one request may spend on one VM. The zero
// value and a nil Account have none. It is safe for concurrent use.
type Account struct {
	// balance is never negative.
	balance atomic.Int64
}

// NewAccount returns an account with a balance of extra tries; a negative
// number counts as 0.
func NewAccount(extra int) *Account {
	a := new(Account)
	a.balance.Store(int64(max(extra, 0)))
	return a
}

// Balance returns the number of tries left.
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

// Grant moves half of the balance, rounded up, to a nested call.
func (a *Account) Grant() *Grant {
	size := a.take(func(balance int64) int64 { return (balance + 1) / 2 })
	return &Grant{account: a, size: size}
}

// Close empties the account and returns the number of tries that were left.
func (a *Account) Close() int {
	return int(a.take(func(balance int64) int64 { return balance }))
}

// take subtracts part of the balance and returns the number of tries taken.
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
