package depot

import (
	"testing"

	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
)

// TestTicketsUniqueAcrossVMNames reaches one process under the names of two VMs,
// as when a new VM has taken the address of an old one. No ticket is issued
// twice, even when the Welcome of an earlier process arrives late.
func TestTicketsUniqueAcrossVMNames(t *testing.T) {
	router := dispatch.NewRouter("self", dispatch.Locality{})
	ps := newPeers(new(clock.Manual), portage.Hello{}, router, nil)
	old, renamed := ps.get("old", "127.0.0.1:1"), ps.get("new", "127.0.0.1:1")
	current := portage.Welcome{VM: "host", Incarnation: 2, Session: 1}
	earlier := portage.Welcome{VM: "host", Incarnation: 1, Session: 1}
	seen := make(map[string]bool)
	for _, w := range []portage.Welcome{current, earlier, current} {
		for _, p := range []*peer{old, renamed} {
			ps.handleWelcome(p, w)
			ticket := p.newTicket().String()
			if seen[ticket] {
				t.Errorf("got ticket %s twice", ticket)
			}
			seen[ticket] = true
		}
	}
}
