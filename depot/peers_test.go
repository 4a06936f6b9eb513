package depot

import (
	"testing"

	"cuminhollow.example/clock"
	"cuminhollow.example/dispatch"
	"cuminhollow.example/portage"
)

// TestTicketsOfTwoNames reaches one process under the names of two VMs, as when
// a new VM has taken the address of an old one: no ticket is given out twice,
// also when the Welcome of an earlier process arrives late.
func TestTicketsOfTwoNames(t *testing.T) {
	router := dispatch.NewRouter("self", dispatch.Locality{})
	ps := newPeers(new(clock.Manual), portage.Hello{}, router, nil)
	old, renamed := ps.get("old", "127.0.0.1:1"), ps.get("new", "127.0.0.1:1")
	now := portage.Welcome{VM: "host", Incarnation: 2, Session: 1}
	before := portage.Welcome{VM: "host", Incarnation: 1, Session: 1}
	seen := make(map[string]bool)
	for _, w := range []portage.Welcome{now, before, now} {
		for _, p := range []*peer{old, renamed} {
			ps.handleWelcome(p, w)
			k := p.newTicket().String()
			if seen[k] {
				t.Errorf("got ticket %s twice", k)
			}
			seen[k] = true
		}
	}
}
