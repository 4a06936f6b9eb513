package ledger

import "sync/atomic"

// Grant is the part of an account that went with one onward call.
type Grant struct {
	account *Account
	size    int64
	// returned is set by the first Return; later ones change nothing.
	returned atomic.Bool
}

// Size returns the number of tries granted.
func (g *Grant) Size() int { return int(g.size) }

// Return gives back what the call did not spend and reports how many tries
// were credited. Only the first Return counts, and never for more than the
// grant, so a repeated or wrong answer cannot create tries.
func (g *Grant) Return(unspent int) int {
	if g.account == nil || g.returned.Swap(true) {
		return 0
	}
	n := max(min(int64(unspent), g.size), 0)
	g.account.balance.Add(n)
	return int(n)
}
