package ledger

import (
	"testing"

	"pgregory.net/rapid"
)

// spendInChain makes nested calls in a chain of random depth and width, in
// which answers are lost or repeated, and adds the extra tries that were spent
// to spent.
func spendInChain(t *rapid.T, account *Account, depth int, spent *int) {
	if depth == 0 {
		return
	}
	for range rapid.IntRange(0, 3).Draw(t, "width") {
		for range rapid.IntRange(0, 4).Draw(t, "retries") {
			if account.Spend() {
				*spent++
			}
		}
		grant := account.Grant()
		child := NewAccount(grant.Size())
		spendInChain(t, child, depth-1, spent)
		unspent := child.Close()
		switch rapid.IntRange(0, 3).Draw(t, "answer") {
		case 0: // Lost.
		case 1: // Repeated.
			grant.Return(unspent)
			grant.Return(unspent)
		default:
			grant.Return(unspent)
		}
	}
}

// TestChainNeverSpendsMoreThanRoot checks the limit of the retries of a
// request: in a random chain the extra tries never exceed the balance of the
// root account.
func TestChainNeverSpendsMoreThanRoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		extra := rapid.IntRange(0, 16).Draw(t, "extra")
		depth := rapid.IntRange(1, 5).Draw(t, "depth")
		root := NewAccount(extra)
		spent := 0
		spendInChain(t, root, depth, &spent)
		if got := spent + root.Balance(); got > extra {
			t.Fatalf("spent and left: got %d, want at most %d", got, extra)
		}
	})
}

// TestDeepChain checks that a chain of 14 calls, each of which retries as often
// as it can, spends exactly the balance of the root account.
func TestDeepChain(t *testing.T) {
	const depth, extra = 14, 7
	spent := 0
	account := NewAccount(extra)
	for range depth {
		grant := account.Grant()
		for account.Spend() {
			spent++
		}
		account = NewAccount(grant.Size())
	}
	for account.Spend() {
		spent++
	}
	if got, want := spent, extra; got != want {
		t.Errorf("spent: got %d, want %d", got, want)
	}
}

func TestGrantReturn(t *testing.T) {
	tests := []struct {
		name    string
		balance int
		returns []int
		want    int
	}{
		{"whole grant", 4, []int{2}, 4},
		{"part", 4, []int{1}, 3},
		{"twice", 4, []int{2, 2}, 4},
		{"more than granted", 4, []int{9}, 4},
		{"negative", 4, []int{-3}, 2},
		{"lost", 4, nil, 2},
		{"empty account", 0, []int{5}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAccount(tt.balance)
			g := a.Grant()
			for _, n := range tt.returns {
				g.Return(n)
			}
			if got := a.Balance(); got != tt.want {
				t.Errorf("balance: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestNilAccount(t *testing.T) {
	var a *Account
	if a.Spend() || a.Balance() != 0 || a.Grant().Size() != 0 || a.Close() != 0 {
		t.Error("nil account: got tries, want none")
	}
	if got := a.Grant().Return(3); got != 0 {
		t.Errorf("return to nil account: got %d, want 0", got)
	}
}

// TestBucketShare checks the limit of the retries to one destination: a tenth
// of the first tries and the burst.
func TestBucketShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBucket()
		first, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirst()
				first++
			} else if b.AllowRetry() {
				retries++
			}
		}
		if limit := 10 + first/10; retries > limit {
			t.Fatalf("retries: got %d for %d first tries, want at most %d", retries, first, limit)
		}
	})
}
