package depot

import (
	"os"
	"strings"
	"testing"
)

func TestSettingsGood(t *testing.T) {
	s, err := LoadSettings("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.VM()+" "+s.Service()+" "+s.Place().Zone, "kutch-a-1 sealing kutch-a"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestSettingsBad expects every fault of a file at once, each with its line.
func TestSettingsBad(t *testing.T) {
	body, err := os.ReadFile("testdata/bad.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = ParseSettings("bad.yaml", body)
	if err == nil {
		t.Fatal("got no error, want one")
	}
	wants := []string{
		`:4: unknown key "zon"`,
		":11: cannot unmarshal",
		":1: zone is missing",
		":7: listen.upstream uses the same address as listen.callers",
		`:8: listen.peers "127.0.0.1" must be host:port`,
		`:9: listen.operators "127.0.0.1:99999" needs a port`,
		":10: upstream.address is missing",
		":12: upstream.connections must be 1 or more",
		":1: platform needs at least one address",
		`:13: seeds "here" must be host:port`,
		`:14: callers.identity "guess"`,
		":16: transport.plain excludes",
		":18: route 1 needs",
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), "bad.yaml"+want) {
			t.Errorf("got no line %q in\n%v", want, err)
		}
	}
}

func FuzzParseSettings(f *testing.F) {
	for _, name := range []string{"good", "bad"} {
		body, err := os.ReadFile("testdata/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSettings("fuzz.yaml", body)
		if err == nil && (s.VM() == "" || s.upstream.Slots < 1) {
			t.Errorf("got settings %+v, want a VM and slots", s)
		}
	})
}
