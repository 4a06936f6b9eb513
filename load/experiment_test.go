package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cuminhollow.example/caller"
)

// TestExperimentFiles checks that every file in experiments is valid and named
// after its experiment.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("experiments/*.yaml")
	if err != nil || len(files) < 8 {
		t.Fatalf("got %d experiments, error %v, want at least 8", len(files), err)
	}
	for _, file := range files {
		e, err := loadExperiment(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if got, want := e.Name+".yaml", filepath.Base(file); got != want {
			t.Errorf("name: got %q, want %q", got, want)
		}
	}
}

// TestInvalidExperiments checks that a file with one invalid value is rejected
// with an error that names the cause.
func TestInvalidExperiments(t *testing.T) {
	const good = `
regions: [kutch]
services: [{name: a, vms: 1, slots: 1, service_time: 1ms}]
kinds: [{name: k, service: a, target: 1s, rate: 1}]
stages: [{name: s, length: 1s}]
`
	tests := []struct{ name, from, to, want string }{
		{"unknown key", "regions", "region", ":2: unknown key"},
		{"no service", "service: a", "service: b", `service "b" is not defined`},
		{"no slots", "slots: 1", "slots: 0", "vms, slots and service_time must be positive"},
		{"no length", "length: 1s", "length: 0s", "length must be positive"},
		{"no kind", "length: 1s", "length: 1s, kinds: [x]", `stage "s": kind "x" is not defined`},
		{"no onward kind", "service_time: 1ms", "service_time: 1ms, onward: [x]", `onward kind "x" is not defined`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "e.yaml")
			if err := os.WriteFile(path, []byte(strings.Replace(good, tt.from, tt.to, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := loadExperiment(path); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want an error about %q", err, tt.want)
			}
		})
	}
}

// nestedCallExperiment returns an experiment in which a service a with 10 slots
// makes a nested call to a service b with 2 slots.
func nestedCallExperiment() *Experiment {
	return &Experiment{
		Services: []ServiceSpec{
			{Name: "a", VMs: 1, Slots: 10, ServiceTime: 10 * time.Millisecond, Onward: []string{"inner"}},
			{Name: "b", VMs: 1, Slots: 2, ServiceTime: 10 * time.Millisecond},
		},
		Kinds: []KindSpec{
			{Name: "outer", Service: "a", Rank: 0, Target: time.Second, Rate: 100, Protected: true},
			{Name: "inner", Service: "b", Rank: 1, Target: time.Second, Rate: 100, Protected: true},
		},
		Stages: []Stage{{Name: "calm", Length: time.Second}},
	}
}

// TestIdealGoodput checks the goodput that the slots allow. Service b can run
// 200 calls per second.
func TestIdealGoodput(t *testing.T) {
	tests := []struct {
		name         string
		stage        Stage
		outer, inner float64
	}{
		{"enough for all", Stage{}, 100, 100},
		{"the first class first", Stage{Factor: 1.5}, 150, 50},
		{"flood of the second class", Stage{Factor: 10, Kinds: []string{"inner"}}, 100, 100},
		{"slow service", Stage{Slow: []string{"b"}, SlowBy: 4}, 50, 0},
		{"slower than the target", Stage{Slow: []string{"b"}, SlowBy: 1000}, 0, 0},
		{"killed VM", Stage{Kill: []string{"b-1"}}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := nestedCallExperiment().idealGoodput(tt.stage)
			if math.Abs(got["outer"]-tt.outer) > 1 || math.Abs(got["inner"]-tt.inner) > 1 {
				t.Errorf("got %v, want %.0f and %.0f", got, tt.outer, tt.inner)
			}
		})
	}
}

// TestArrivalsAreReproducible checks that the same seed gives the same arrivals,
// ordered by time and at about the configured rate.
func TestArrivalsAreReproducible(t *testing.T) {
	e := nestedCallExperiment()
	e.Stages = []Stage{{Name: "long", Length: 20 * time.Second}}
	draw := func() []arrival {
		g := &generator{experiment: e, rng: newRNG(e.Seed), clients: make([]*caller.Caller, 1)}
		return g.arrivals()
	}
	first, second := draw(), draw()
	if got, want := len(first), 4000; math.Abs(float64(got-want)) > 400 {
		t.Errorf("arrivals: got %d, want about %d", got, want)
	}
	if len(first) != len(second) {
		t.Fatalf("arrivals: got %d and %d, want the same", len(first), len(second))
	}
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("arrival %d: got %+v, want %+v", i, second[i], first[i])
		}
		if i > 0 && first[i].at < first[i-1].at {
			t.Fatalf("arrival %d is earlier than its predecessor", i)
		}
	}
}

// TestRecovery checks the time from the end of a surge until goodput recovers.
func TestRecovery(t *testing.T) {
	e := nestedCallExperiment()
	e.Stages = []Stage{
		{Name: "baseline", Length: 2 * time.Second},
		{Name: "surge", Length: 2 * time.Second, Factor: 5},
		{Name: "after", Length: 4 * time.Second},
	}
	tests := []struct {
		name string
		// emptyBuckets is the number of buckets after the surge without good
		// answers.
		emptyBuckets int
		want         int64
	}{{"at once", 0, 0}, {"after a second", 5, 1000}, {"never", 20, -1}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newResults(e)
			series := r.goodSeries["outer"]
			for i := range series {
				if i < 20 || i >= 20+tt.emptyBuckets {
					series[i] = 20
				}
			}
			if got := recoveryMS(e, r); got != tt.want {
				t.Errorf("got %d ms, want %d ms", got, tt.want)
			}
		})
	}
}

// TestFitLine checks an exact fit and the fit of a single point.
func TestFitLine(t *testing.T) {
	got := fitLine([]float64{1, 2, 3}, []float64{12, 14, 16})
	if math.Abs(got.intercept-10) > 1e-9 || math.Abs(got.slope-2) > 1e-9 || got.maxResidual > 1e-9 {
		t.Errorf("got %+v, want 10 + 2x without residual", got)
	}
	if got := fitLine([]float64{5}, []float64{7}); got.slope != 0 || got.intercept != 7 {
		t.Errorf("one point: got %+v, want slope 0 and intercept 7", got)
	}
}

// TestReportRoundTrip checks that a saved report can be read back and plotted.
func TestReportRoundTrip(t *testing.T) {
	e := nestedCallExperiment()
	r := newResults(e)
	r.observe(arrival{kind: e.Kinds[0]}, outcomeGood, time.Millisecond, time.Millisecond, true)
	want := &Report{Experiment: "x", Policy: "product", Series: r.goodSeries, Stages: []StageReport{newStageReport(e, e.Stages[0], r.stageCounts[0])}}
	dir := t.TempDir()
	if err := want.save(filepath.Join(dir, "r.json")); err != nil {
		t.Fatal(err)
	}
	got, err := loadReport(filepath.Join(dir, "r.json"))
	if err != nil || got.Stages[0].ShareOfIdeal != 1 || got.Stages[0].Kinds["outer"].Outcomes[outcomeGood] != 1 {
		t.Errorf("got %+v, %v, want the saved report", got, err)
	}
	svg := filepath.Join(dir, "r.svg")
	if err := got.plot(svg); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(svg); err != nil || !strings.Contains(string(text), "<svg") {
		t.Errorf("plot: got error %v, want an SVG file", err)
	}
}
