package ledger

import "sync/atomic"

// Grant is the part of an account that was moved to one nested call.
type Grant struct {
	account *Account
	size    int64
	// returned is set by the first Return; later calls have no effect.
	returned atomic.Bool
}

// Size returns the number of tries granted.
func (g *Grant) Size() int { return int(g.size) }

// Return credits the tries that the call did not spend to the account and
// returns their number. Only the first Return counts, and for no more than the
// grant, so that a repeated or wrong answer cannot create tries.
func (g *Grant) Return(unspent int) int {
	if g.account == nil || g.returned.Swap(true) {
		return 0
	}
	n := max(min(int64(unspent), g.size), 0)
	g.account.balance.Add(n)
	return int(n)
}
