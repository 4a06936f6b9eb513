package kiln

import (
	"strings"
	"testing"

	"cuminhollow.example/booking"
	"cuminhollow.example/clock"
)

// The users' goals under overload, as shares: of the best possible that is
// earned, of the requests of which work is wasted, and of each kind that is not
// the flood.
const (
	goalEarned = 0.9
	goalWasted = 0.02
	goalKind   = 0.9
)

// recovery is the time after a trouble within which service is as before, in
// milliseconds, and recovered the share of the calm service that counts as such.
const (
	recoveryTime   = 2 * clock.Second
	recoveredShare = 0.95
)

// trouble is when the loads of these tests are disturbed.
var disturbed = Interval{4000, 10_000}

// replays are loads that exceed what a service deep down can take, in parts of
// the calm load.
func overloadPlans(seed uint64) map[string]*Plan {
	return map[string]*Plan{
		"seals in a burst":             kilnFirmPlan(seed, 420, Burst{disturbed, "burn-seal", 2.5}),
		"everything in a burst":        kilnFirmPlan(seed, 380, Burst{disturbed, "", 2}),
		"a flood":                      kilnFirmPlan(seed, 380, Burst{disturbed, "", 3}),
		"half of the offices slow":     kilnFirmPlan(seed, 380, Slowdown{disturbed, "moisture", 3, 5}),
		"burst with a slow office":     kilnFirmPlan(seed, 380, Burst{disturbed, "", 1.8}, Slowdown{disturbed, "moisture", 1, 5}),
		"guild, everything in a burst": guildPlan(seed, 850, Burst{disturbed, "", 2.2}),
		"guild, lookups in a flood":    guildPlan(seed, 850, Burst{disturbed, "cart-lookup", 4}),
		"guild, half of claims slow":   guildPlan(seed, 850, Slowdown{disturbed, "claims", 3, 5}),
	}
}

// TestReplay plays each load and compares what callers get with the best that
// the slots allow, and with the goals. Printed with -v.
func TestReplay(t *testing.T) {
	for name, p := range overloadPlans(1) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Run(p)
			logTable(t, r)
			c := r.All(disturbed)
			if got, want := c.ValueShare(), goalEarned*IdealShare(p, disturbed); got < want {
				t.Errorf("earned: got %.3f, want at least %.3f", got, want)
			}
			if got := float64(c.Failed) / float64(c.Requests); got > goalWasted {
				t.Errorf("wasted: got %.3f, want at most %.3f", got, goalWasted)
			}
			calm := r.All(Interval{0, disturbed.From}).ValueShare()
			after := r.All(Interval{disturbed.To + recoveryTime, disturbed.To + 2*recoveryTime}).ValueShare()
			if after < recoveredShare*calm {
				t.Errorf("2 s after the trouble: got %.3f, want at least %.2f of %.3f", after, recoveredShare, calm)
			}
		})
	}
}

// TestLeafKindsKeepTheirShare checks that kinds of work without onward calls,
// which take little of the service that is full, are served while chains that
// end there press.
func TestLeafKindsKeepTheirShare(t *testing.T) {
	tests := []struct{ name, kind string }{
		{"seals in a burst", "grade-cert"},
		{"everything in a burst", "grade-cert"},
		{"burst with a slow office", "grade-cert"},
		{"guild, everything in a burst", "claim"},
		{"guild, lookups in a flood", "claim"},
	}
	plans := overloadPlans(2)
	for _, tt := range tests {
		t.Run(tt.name+" "+tt.kind, func(t *testing.T) {
			t.Parallel()
			c := Run(plans[tt.name]).Kind(tt.kind, disturbed)
			if got := float64(c.OnTime+c.Late) / float64(c.Requests); got < goalKind {
				t.Errorf("served: got %.3f of %d, want at least %.2f", got, c.Requests, goalKind)
			}
		})
	}
}

// TestQuotas plays the loads without quotas of first calls too: with them, less
// of the work that is begun fails, and callers get no less on the whole.
func TestQuotas(t *testing.T) {
	t.Parallel()
	var with, without Counts
	plans := overloadPlans(3)
	for _, name := range []string{"everything in a burst", "half of the offices slow", "guild, everything in a burst"} {
		p := plans[name]
		with.add(Run(p).All(disturbed))
		without.add(Run(p, booking.WithoutQuotas()).All(disturbed))
	}
	t.Logf("with quotas:    %+v", with)
	t.Logf("without quotas: %+v", without)
	if got, want := with.Failed, without.Failed/2; got > want {
		t.Errorf("failed: got %d, want at most half of %d", got, without.Failed)
	}
	if got, want := with.ValueShare(), without.ValueShare(); got < want {
		t.Errorf("earned: got %.3f, want at least %.3f", got, want)
	}
}

// TestShedding has all upstreams of the deepest service refuse half of what they
// get. Repeats stay within their bound; work that is not idempotent is refused
// rather than begun while most of it fails.
func TestShedding(t *testing.T) {
	t.Parallel()
	span := Interval{4000, 12_000}
	p := kilnFirmPlan(4, 340, Shedding{span, "moisture", 0.55})
	r := Run(p)
	logTable(t, r)
	seals := r.Kind("burn-seal", Interval{span.From + recoveryTime, span.To})
	if seals.Refused < 2*seals.Failed {
		t.Errorf("seals: got %d refused and %d failed, want most of them refused", seals.Refused, seals.Failed)
	}
	if got := r.Kind("lot-booking", span); float64(got.OnTime+got.Late) < goalKind*float64(got.Requests) {
		t.Errorf("bookings: got %d of %d served, want %.2f of them", got.OnTime+got.Late, got.Requests, goalKind)
	}
}

// TestSameSeedSameResult makes sure that a replay can be repeated.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	p := kilnFirmPlan(5, 380, Burst{disturbed, "", 2}, Restart{Interval{11_000, 12_000}})
	if a, b := Run(p).All(Interval{0, p.Length}), Run(p).All(Interval{0, p.Length}); a != b {
		t.Errorf("got %+v and %+v, want the same", a, b)
	}
}

func logTable(t *testing.T, r *Result) {
	t.Helper()
	var table strings.Builder
	if err := r.Write(&table); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", table.String())
}
