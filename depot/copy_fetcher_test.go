package depot

import (
	"testing"
	"time"

	"cuminhollow.example/record"
)

// setText sets the text that the source of the fake serves as its copy.
func (a *fakeAdapter) setText(text string) { a.text.Store(&text) }

func (a *fakeAdapter) currentText() string {
	if text := a.text.Load(); text != nil {
		return *text
	}
	return ""
}

// awaitText waits until the source has adopted a text.
func (a *fakeAdapter) awaitText(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); a.currentText() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %q, want %q", a.currentText(), want)
		}
	}
}

// TestCopyFromListedNode checks that a node whose source is unavailable adopts
// newer data of a listed node, but not a damaged copy.
func TestCopyFromListedNode(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	b, vm := startFakeAdapter(t, "u-2", "")
	a.setRoster(vm)
	a.setText("old")
	b.setText("newer")
	a.platformDown.Store(true)
	a.awaitText(t, "newer")
	if got, want := a.node.Configuration().Version(), uint64(len("newer")); got != want {
		t.Errorf("got current version %d, want %d", got, want)
	}
	b.setText("damaged")
	for b.copies.Load() < 8 {
		time.Sleep(time.Millisecond)
	}
	if got := a.currentText(); got != "newer" {
		t.Errorf("after a damaged copy: got %q, want %q", got, "newer")
	}
}

// TestCopyFromSeed starts a node while its source is unavailable: it knows no
// VM, gets the data from a seed and becomes ready.
func TestCopyFromSeed(t *testing.T) {
	b, vm := startFakeAdapter(t, "u-2", "")
	b.setText("routes")
	a, _ := startFakeAdapter(t, "u-1", "seeds: [\""+vm.Address()+"\"]")
	if a.node.Ready() {
		t.Error("before: got ready, want not")
	}
	a.platformDown.Store(true)
	a.awaitText(t, "routes")
	for end := time.Now().Add(20 * time.Second); !a.node.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got not ready, want ready")
		}
	}
}

// TestNoCopyWhileAvailable checks that a node does not query others while its
// own source is available. The other node is in another region, so that the
// node does not follow it either.
func TestNoCopyWhileAvailable(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	b, vm := startFakeAdapter(t, "u-2", "")
	b.setText("newer")
	far := record.NewVM(vm.Name(), "dangs", "ahwa", vm.Address(), record.StateLive).WithUpstream(vm.Upstream(), 8)
	a.node.SetRosters([]*record.Roster{record.NewRoster("desk", []record.VM{far})})
	time.Sleep(3 * fetchPause)
	if got := b.copies.Load(); got != 0 {
		t.Errorf("got %d requests for a copy, want none", got)
	}
}

// TestConfigurationOfListedNode checks that a node whose source may be old adopts the newer
// configuration of a listed node and nothing else, and no damaged one. The other node is in
// another region, so that the node does not follow it.
func TestConfigurationOfListedNode(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	b, vm := startFakeAdapter(t, "u-2", "")
	a.setText("old")
	b.setText("damaged")
	a.mayBeOld.Store(true)
	far := record.NewVM(vm.Name(), "dangs", "ahwa", vm.Address(), record.StateLive).WithUpstream(vm.Upstream(), 8)
	a.setRoster(far)
	await(t, "request for a copy", func() bool { return b.copies.Load() > 1 })
	if got := a.node.Configuration(); got != nil {
		t.Errorf("after a damaged copy: got version %d, want none", got.Version())
	}
	b.setText("newer")
	await(t, "configuration", func() bool { return a.node.Configuration() != nil })
	if got, want := a.node.Configuration().Version(), uint64(len("newer")); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	if got := a.currentText(); got != "old" {
		t.Errorf("got %q, want the data to stay %q", got, "old")
	}
}

// TestConfigurationWhileUnavailable guards against a node that starts while its source is
// unavailable and does not compare its configuration: the data of the others is no newer.
func TestConfigurationWhileUnavailable(t *testing.T) {
	a, _ := startFakeAdapter(t, "u-1", "")
	b, vm := startFakeAdapter(t, "u-2", "")
	b.newestOnly.Store(true)
	b.setText("newer")
	a.setText("old")
	a.mayBeOld.Store(true)
	a.platformDown.Store(true)
	a.setRoster(vm)
	await(t, "configuration", func() bool { return a.node.Configuration() != nil })
	if got := a.currentText(); got != "old" {
		t.Errorf("got %q, want the data to stay %q", got, "old")
	}
}

// TestSeedInPlaceOfItself guards against a node that compares its configuration only with
// itself, because the platform's copy lists no other node.
func TestSeedInPlaceOfItself(t *testing.T) {
	b, vm := startFakeAdapter(t, "u-2", "")
	b.setText("newer")
	a, self := startFakeAdapter(t, "u-1", "seeds: [\""+vm.Address()+"\"]")
	a.setText("old")
	a.setRoster(self)
	a.mayBeOld.Store(true)
	await(t, "configuration", func() bool { return a.node.Configuration() != nil })
}
