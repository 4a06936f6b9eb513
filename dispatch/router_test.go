package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
	"cuminhollow.example/record"
)

// rosterOf makes a roster of VMs named REGION-ZONE-NUMBER.
func rosterOf(t interface{ Fatal(...any) }, names ...string) *record.Roster {
	var b strings.Builder
	b.WriteString("schema: 1\nrevision: 1\nservice: sealing\nvms:\n")
	for _, name := range names {
		parts := strings.Split(name, "-")
		state := record.StateLive
		if strings.HasSuffix(name, "-leaving") {
			state = record.StateLeaving
		}
		fmt.Fprintf(&b, "  - {name: %s, region: %s, zone: %s-%s, address: \"h:1\", state: %s}\n",
			name, parts[0], parts[0], parts[1], state)
	}
	d, err := record.Parse("vms/sealing", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return d.Content().(*record.Roster)
}

var home = Locality{Region: "kutch", Zone: "kutch-a"}

func newTestRouter(t interface{ Fatal(...any) }, names ...string) *Router {
	r := NewRouter("self", home, WithRandom(rand.New(rand.NewPCG(1, 2)).IntN))
	r.Update(rosterOf(t, names...))
	return r
}

func TestPickTier(t *testing.T) {
	all := []string{"kutch-a-1", "kutch-a-2", "kutch-b-1", "dangs-a-1"}
	urgent, least := booking.ClassOf(true, 0), booking.ClassOf(false, 7)
	tests := []struct {
		name    string
		names   []string
		class   booking.Class
		prepare func(*Router)
		avoid   []string
		want    string
		kind    ErrorKind
	}{
		{name: "own zone", names: all, class: least, want: "kutch-a"},
		{name: "own region", names: all, class: least, avoid: []string{"kutch-a-1", "kutch-a-2"}, want: "kutch-b"},
		{name: "urgent work leaves the region", names: all, class: urgent, avoid: all[:3], want: "dangs-a"},
		{name: "other work does not", names: all, class: least, avoid: all[:3], kind: KindNoVM},
		{name: "no VM nearer by", names: all[3:], class: least, want: "dangs-a"},
		{name: "listed as leaving", names: []string{"kutch-a-1-leaving"}, kind: KindNoVM},
		{
			name: "said to leave", names: all[:1], kind: KindNoVM,
			prepare: func(r *Router) { r.Target("kutch-a-1").SetLeaving(0) },
		},
		{
			name: "ejected", names: all[:2], want: "kutch-a-2",
			prepare: func(r *Router) {
				for range ejectAfter {
					r.Target("kutch-a-1").Begin()
					r.Target("kutch-a-1").EndFailed(0)
				}
			},
		},
		{
			name: "errors in the zone", names: all, class: least, want: "kutch-b",
			prepare: func(r *Router) {
				for _, name := range all[:2] {
					for range 10 {
						r.Target(name).Begin()
						r.Target(name).End(10, 1, true)
					}
				}
			},
		},
		{
			name: "errors everywhere", names: all[:1], class: least, want: "kutch-a-1",
			prepare: func(r *Router) {
				for range 10 {
					r.Target("kutch-a-1").Begin()
					r.Target("kutch-a-1").End(10, 1, true)
				}
			},
		},
		{
			name: "no VM alive in the region", names: all, class: least, want: "dangs-a",
			prepare: func(r *Router) {
				for _, name := range all[:3] {
					r.Target(name).SetLeaving(10)
				}
			},
		},
		{
			name: "refuses the class", names: all[:1], class: least, kind: KindOverload,
			prepare: func(r *Router) {
				r.Target("kutch-a-1").SetLevel(10, urgent)
				r.Target("kutch-a-1").allowProbe(10)
			},
		},
		{
			name: "takes a lower class", names: all[:1], class: urgent, want: "kutch-a-1",
			prepare: func(r *Router) { r.Target("kutch-a-1").SetLevel(10, urgent+1) },
		},
		{
			name: "refusal is old", names: all[:1], class: least, want: "kutch-a-1",
			prepare: func(r *Router) { r.Target("kutch-a-1").SetLevel(10-maxLevelAge, urgent) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t, tt.names...)
			if tt.prepare != nil {
				tt.prepare(r)
			}
			p, err := r.Pick(10, Request{Service: "sealing", Class: tt.class, Exclude: tt.avoid})
			var e *Error
			switch {
			case tt.kind != 0 && (!errors.As(err, &e) || e.Kind != tt.kind):
				t.Errorf("got %s, %v, want kind %s", p.VM.Name(), err, tt.kind)
			case tt.kind == 0 && (err != nil || !strings.HasPrefix(p.VM.Name(), tt.want)):
				t.Errorf("got %s, %v, want %s", p.VM.Name(), err, tt.want)
			}
		})
	}
}

// TestPickUsable drives a router with random reports: it never picks a VM that
// leaves, is ejected or was tried, and it finds one whenever there is one.
func TestPickUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"kutch-a-1", "kutch-a-2", "kutch-a-3", "kutch-b-1"}
		r := newTestRouter(t, names...)
		now := clock.Millis(1)
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				target := r.Target(rapid.SampledFrom(names).Draw(t, "vm"))
				target.Begin()
				if rapid.Bool().Draw(t, "failed") {
					target.EndFailed(now)
				} else {
					target.End(now, 1, rapid.Bool().Draw(t, "error"))
				}
			},
			"leave": func(t *rapid.T) { r.Target(rapid.SampledFrom(names).Draw(t, "vm")).SetLeaving(now) },
			"renew": func(t *rapid.T) { r.Target(rapid.SampledFrom(names).Draw(t, "vm")).Reset() },
			"wait":  func(t *rapid.T) { now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "span")) },
			"": func(t *rapid.T) {
				avoid := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "avoid")
				usable := 0
				for _, name := range names {
					target := r.Target(name)
					if !target.Leaving(now) && !target.Ejected(now) && !slices.Contains(avoid, name) {
						usable++
					}
				}
				p, err := r.Pick(now, Request{Service: "sealing", Exclude: avoid})
				if (err == nil) != (usable > 0) {
					t.Fatalf("got %v with %d usable VMs", err, usable)
				}
				if err == nil && (p.Target.Leaving(now) || p.Target.Ejected(now) || slices.Contains(avoid, p.VM.Name())) {
					t.Fatalf("got %s, want a usable VM", p.VM.Name())
				}
			},
		})
	})
}

// TestSubsetIsEven gives each of many nodes its subset of a large service: the
// VMs get about the same number of nodes, and one VM less moves few nodes.
func TestSubsetIsEven(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("kutch-a-", i))
	}
	roster, smaller := rosterOf(t, names...), rosterOf(t, names[1:]...)
	const nodes = 500
	count := make(map[string]int)
	moved := 0
	for n := range nodes {
		self := fmt.Sprint("node-", n)
		before := newServiceSubset(self, home, roster, NewTarget).tiers[TierZone]
		after := newServiceSubset(self, home, smaller, NewTarget).tiers[TierZone]
		had := make(map[string]bool)
		for _, c := range before {
			count[c.vm.Name()]++
			had[c.vm.Name()] = true
		}
		for _, c := range after {
			if !had[c.vm.Name()] {
				moved++
			}
		}
	}
	mean := nodes * subsetSize / len(names)
	for name, n := range count {
		if n < mean/2 || n > mean*2 {
			t.Errorf("%s: got %d nodes, want %d within a factor of 2", name, n, mean)
		}
	}
	if got, want := moved, count[names[0]]; got != want {
		t.Errorf("moved: got %d, want the %d nodes of the VM that left", got, want)
	}
}

// TestUpdateForgets replaces the VMs of a service over and over, as failures
// and deployments do: what the router keeps stays bounded.
func TestUpdateForgets(t *testing.T) {
	r := NewRouter("self", home)
	for n := range 100 {
		r.Update(rosterOf(t, fmt.Sprint("kutch-a-", n), fmt.Sprint("kutch-a-", n+1)))
	}
	if got, want := len(r.targets), 2; got != want {
		t.Errorf("targets: got %d, want %d", got, want)
	}
}

// TestPickAvoids sends calls to two VMs of which the second is worse.
func TestPickAvoids(t *testing.T) {
	good := func(now clock.Millis, target *Target) { target.End(now, 10, false) }
	tests := []struct {
		name string
		bad  func(clock.Millis, *Target)
	}{
		{"ten times as long", func(now clock.Millis, target *Target) { target.End(now, 100, false) }},
		{"errors at once", func(now clock.Millis, target *Target) { target.End(now, 0.1, true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t, "kutch-a-1", "kutch-a-2")
			count := make(map[string]int)
			for n := range 1000 {
				p, err := r.Pick(clock.Millis(n), Request{Service: "sealing"})
				if err != nil {
					t.Fatal(err)
				}
				count[p.VM.Name()]++
				p.Target.Begin()
				if p.VM.Name() == "kutch-a-2" {
					tt.bad(clock.Millis(n), p.Target)
				} else {
					good(clock.Millis(n), p.Target)
				}
			}
			if got, limit := count["kutch-a-2"], 50; got > limit {
				t.Errorf("worse VM: got %d of 1000 calls, want at most %d", got, limit)
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("kutch-a-", i))
	}
	r := NewRouter("self", home)
	r.Update(rosterOf(b, names...))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, err := r.Pick(1, Request{Service: "sealing", Class: 3})
			if err != nil {
				b.Error(err)
				return
			}
			p.Target.Begin()
			p.Target.End(0, 1, false)
		}
	})
}
