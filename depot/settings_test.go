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
	if got, want := s.VM()+" "+s.Service()+" "+s.Locality().Zone, "kutch-a-1 sealing kutch-a"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestSettingsBad checks that all faults of a file are reported at once, each
// with its line.
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
		":16: transport.plain cannot be combined with certificate",
		":18: route 1 needs",
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), "bad.yaml"+want) {
			t.Errorf("got no line %q in\n%v", want, err)
		}
	}
}

// TestSettingsFaults checks the fault reported for each changed line of valid
// settings. After a syntax error, no other fault is reported.
func TestSettingsFaults(t *testing.T) {
	good, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ name, old, new, want string }{
		{"service with a space", "service: sealing", "service: sea ling", `s.yaml:2: service "sea ling" must be`},
		{"unknown method", "method: POST", "method: FETCH", `method "FETCH" is not a supported HTTP method`},
		{"host name", "address: 127.0.0.1:8001", "address: upstream.example:8001", `s.yaml:11: upstream.address "upstream.example:8001" must have an IP address`},
		{"headroom", "slots: 70", "slots: 70\n  headroom_percent: 80", "s.yaml:13: upstream.headroom_percent must be 0 to 50"},
		{"share", "transport:", "retries: {share: 2}\ntransport:", "retries.share must be 0 to 1"},
		{"stop", "transport:", "stop: {within_s: -1}\ntransport:", "stop.within_s must be"},
		{"memory", "transport:", "limits: {memory_mb: -5}\ntransport:", "limits.memory_mb and limits.descriptors must be"},
		{"heap", "transport:", "heap_growth_percent: -5\ntransport:", "heap_growth_percent must be"},
		{"syntax", "transport:", "transport: [", "s.yaml:1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseSettings("s.yaml", []byte(strings.Replace(string(good), tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %q in it", err, tt.want)
			}
			if tt.name == "syntax" && strings.Contains(err.Error(), "missing") {
				t.Errorf("got %v, want only the syntax error", err)
			}
		})
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
		if err == nil && (s.VM() == "" || s.Adapter().Name == "" && s.upstream.Slots < 1) {
			t.Errorf("got settings %+v, want a VM and slots", s)
		}
	})
}
