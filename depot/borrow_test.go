package depot

import (
	"testing"
	"time"

	"cuminhollow.example/record"
)

// knows makes the source of a stand-in copy a text.
func (a *fakeAdapter) know(text string) { a.configuration.Store(&text) }

func (a *fakeAdapter) known() string {
	if text := a.configuration.Load(); text != nil {
		return *text
	}
	return ""
}

// waitKnown waits until the source has taken over a text.
func (a *fakeAdapter) waitKnown(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); a.known() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %q, want %q", a.known(), want)
		}
	}
}

// TestBorrowFromListedNodes has a node whose source gets no answers ask those
// that it knows: it takes over what is newer, and nothing that is damaged.
func TestBorrowFromListedNodes(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	b, vm := startFakeAdapter(t, "u-2", "")
	a.setRoster(vm)
	a.know("old")
	b.know("newer")
	a.platformDown.Store(true)
	a.waitKnown(t, "newer")
	if got, want := a.node.Configuration().Version(), uint64(len("newer")); got != want {
		t.Errorf("got version %d in force, want %d", got, want)
	}
	b.know("damaged")
	for b.copies.Load() < 8 {
		time.Sleep(time.Millisecond)
	}
	if got := a.known(); got != "newer" {
		t.Errorf("after a damaged copy: got %q, want %q", got, "newer")
	}
}

// TestBorrowFromSeeds starts a node while its source gets no answers: it knows
// no VM and asks a seed.
func TestBorrowFromSeeds(t *testing.T) {
	b, vm := startFakeAdapter(t, "u-2", "")
	b.know("routes")
	a, _ := startFakeAdapter(t, "u-1", "seeds: [\""+vm.Address()+"\"]")
	if a.node.Ready() {
		t.Error("before: got ready, want not")
	}
	a.platformDown.Store(true)
	a.waitKnown(t, "routes")
	for end := time.Now().Add(20 * time.Second); !a.node.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got not ready, want ready")
		}
	}
}

// TestNoBorrowing leaves nodes alone while the source gets answers.
func TestNoBorrowing(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	b, vm := startFakeAdapter(t, "u-2", "")
	b.know("newer")
	far := record.NewVM(vm.Name(), "dangs", "ahwa", vm.Address(), record.StateLive).WithUpstream(vm.Upstream(), 8)
	a.node.SetRosters([]*record.Roster{record.NewRoster("desk", []record.VM{far})})
	time.Sleep(3 * fetchPause)
	if got := b.copies.Load(); got != 0 {
		t.Errorf("got %d questions, want none", got)
	}
}
