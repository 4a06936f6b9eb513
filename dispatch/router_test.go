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

// rosterOf returns a roster of VMs named REGION-ZONE-NUMBER or, for a leaving
// VM, REGION-ZONE-NUMBER-leaving.
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
	urgent, leastUrgent := booking.ClassOf(true, 0), booking.ClassOf(false, 7)
	tests := []struct {
		name    string
		names   []string
		class   booking.Class
		nested  bool
		prepare func(*Router)
		exclude []string
		want    string
		kind    ErrorKind
	}{
		{name: "own zone", names: all, class: leastUrgent, want: "kutch-a"},
		{name: "own region", names: all, class: leastUrgent, exclude: []string{"kutch-a-1", "kutch-a-2"}, want: "kutch-b"},
		{name: "urgent work leaves the region", names: all, class: urgent, exclude: all[:3], want: "dangs-a"},
		{name: "other work stays in the region", names: all, class: leastUrgent, exclude: all[:3], kind: KindNoVM},
		{name: "no VM in the region", names: all[3:], class: leastUrgent, want: "dangs-a"},
		{name: "listed as leaving", names: []string{"kutch-a-1-leaving"}, kind: KindNoVM},
		{
			name: "announced that it is leaving", names: all[:1], kind: KindNoVM,
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
			name: "errors in the zone", names: all, class: leastUrgent, want: "kutch-b",
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
			name: "errors everywhere", names: all[:1], class: leastUrgent, want: "kutch-a-1",
			prepare: func(r *Router) {
				for range 10 {
					r.Target("kutch-a-1").Begin()
					r.Target("kutch-a-1").End(10, 1, true)
				}
			},
		},
		{
			name: "no VM available in the region", names: all, class: leastUrgent, want: "dangs-a",
			prepare: func(r *Router) {
				for _, name := range all[:3] {
					r.Target(name).SetLeaving(10)
				}
			},
		},
		{
			name: "rejects the class", names: all[:1], class: leastUrgent, kind: KindOverload,
			prepare: func(r *Router) {
				r.Target("kutch-a-1").SetLevel(10, urgent)
				r.Target("kutch-a-1").allowProbe(10)
			},
		},
		{
			name: "rejects the class, but the call is nested", names: all[:1], class: leastUrgent, nested: true, want: "kutch-a-1",
			prepare: func(r *Router) {
				r.Target("kutch-a-1").SetLevel(10, urgent)
				r.Target("kutch-a-1").allowProbe(10)
			},
		},
		{
			name: "rejects only less urgent classes", names: all[:1], class: urgent, want: "kutch-a-1",
			prepare: func(r *Router) { r.Target("kutch-a-1").SetLevel(10, urgent+1) },
		},
		{
			name: "rejection is outdated", names: all[:1], class: leastUrgent, want: "kutch-a-1",
			prepare: func(r *Router) { r.Target("kutch-a-1").SetLevel(10-maxLevelAge, urgent) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t, tt.names...)
			if tt.prepare != nil {
				tt.prepare(r)
			}
			p, err := r.Pick(10, Request{Service: "sealing", Class: tt.class, Nested: tt.nested, Exclude: tt.exclude})
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

// TestPickUsable checks with random reports that a router never picks a VM that
// is leaving, ejected or excluded, and that it picks one whenever one is
// usable.
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
				exclude := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "exclude")
				usable := 0
				for _, name := range names {
					target := r.Target(name)
					if !target.Leaving(now) && !target.Ejected(now) && !slices.Contains(exclude, name) {
						usable++
					}
				}
				p, err := r.Pick(now, Request{Service: "sealing", Exclude: exclude})
				if (err == nil) != (usable > 0) {
					t.Fatalf("got %v with %d usable VMs", err, usable)
				}
				if err == nil && (p.Target.Leaving(now) || p.Target.Ejected(now) || slices.Contains(exclude, p.VM.Name())) {
					t.Fatalf("got %s, want a usable VM", p.VM.Name())
				}
			},
		})
	})
}

// TestSubsetIsEven checks, for the subsets of many nodes of a large service,
// that the VMs have about the same number of nodes and that the removal of one
// VM changes only the subsets that contained it.
func TestSubsetIsEven(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("kutch-a-", i))
	}
	roster, smaller := rosterOf(t, names...), rosterOf(t, names[1:]...)
	const nodes = 500
	count := make(map[string]int)
	added := 0
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
				added++
			}
		}
	}
	mean := nodes * subsetSize / len(names)
	for name, n := range count {
		if n < mean/2 || n > mean*2 {
			t.Errorf("%s: got %d nodes, want %d within a factor of 2", name, n, mean)
		}
	}
	if got, want := added, count[names[0]]; got != want {
		t.Errorf("VMs added to subsets: got %d, want %d, one for each node of the removed VM", got, want)
	}
}

// TestUpdateDropsState checks that the state of a router stays bounded while
// the VMs of a service are replaced again and again, as by failures and
// deployments.
func TestUpdateDropsState(t *testing.T) {
	r := NewRouter("self", home)
	for n := range 100 {
		r.Update(rosterOf(t, fmt.Sprint("kutch-a-", n), fmt.Sprint("kutch-a-", n+1)))
	}
	if got, want := len(r.targets), 2; got != want {
		t.Errorf("targets: got %d, want %d", got, want)
	}
}

// TestPickAvoidsWorseVM checks that a VM which is slower or returns errors gets
// few of the calls. Fast errors must not attract calls.
func TestPickAvoidsWorseVM(t *testing.T) {
	good := func(now clock.Millis, target *Target) { target.End(now, 10, false) }
	tests := []struct {
		name string
		bad  func(clock.Millis, *Target)
	}{
		{"ten times as long", func(now clock.Millis, target *Target) { target.End(now, 100, false) }},
		{"fast errors", func(now clock.Millis, target *Target) { target.End(now, 0.1, true) }},
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
