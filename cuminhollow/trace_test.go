package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTrace explains requests from log lines of real runs: rejected in a burst,
// a lost answer, late because a nested call waited, and retried.
func TestTrace(t *testing.T) {
	tests := []struct {
		name, id string
		want     []string
	}{
		{"rejected", "b3ac9cf554fbc181", []string{"55 of 72 slots in use", "It did not run: downstream services that this kind of work calls are overloaded"}},
		{"answer lost", "096cf10052ad3717", []string{"It ran at least in part", "closed the connection"}},
		{"nested call waited", "cd2af73222151159", []string{"answered 504", "its nested call of kind r-e6iazjn", "when the caller's deadline had passed", "It did not run: no slot would have been free in time"}},
		{"retried", "8fa65c7c023b8dba", []string{"retried", "only a sample of ordinary successes is logged"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := runCommand(t, "trace", tt.id, "testdata/requests.log")
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got\n%s\nwant %q in it", got, want)
				}
			}
			if other := "fa65c7c023b8dba"; !strings.HasSuffix(tt.id, other) && strings.Contains(got, other) {
				t.Errorf("got lines of another request:\n%s", got)
			}
		})
	}
}

// TestTraceErrors passes missing or unknown arguments, which must be errors.
func TestTraceErrors(t *testing.T) {
	for name, args := range map[string][]string{
		"no id":           {"trace"},
		"unknown request": {"trace", "none", "testdata/requests.log"},
		"no file":         {"trace", "none", "testdata/missing.log"},
		"unknown format":  {"trace", "--output", "xml", "cd2af73222151159", "testdata/requests.log"},
	} {
		if out, err := runCommand(t, args...); err == nil {
			t.Errorf("%s: got %q and no error, want one", name, out)
		}
	}
}

func TestWhy(t *testing.T) {
	got, err := runCommand(t, "why", "testdata/requests.log")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"onward-overload", "answer-lost", "late", "504"} {
		if !strings.Contains(got, want) {
			t.Errorf("got\n%s\nwant %q in it", got, want)
		}
	}
}

func TestParseLine(t *testing.T) {
	l, ok := parseLine(`12.5 side-1 time=2026-03-28T18:59:09.082Z event=ran id=a reason="two words" status=200 empty=""`)
	if !ok || l.Event != "ran" || l.ID != "a" || l.Fields["reason"] != "two words" || l.intField("status") != 200 || l.Time.IsZero() {
		t.Errorf("got %+v, want the event with its fields", l)
	}
	for _, text := range []string{"", "no pairs here", "a=b c=d", `event`, `x="broken`} {
		if l, ok := parseLine(text); ok {
			t.Errorf("%q: got %+v, want no event", text, l)
		}
	}
}

func FuzzParseLine(f *testing.F) {
	f.Add(`time=2026-03-28T18:59:09.082Z event=ran id=a reason="two words"`)
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parseLine(text); ok && l.Event == "" {
			t.Errorf("got %+v, want no event", l)
		}
	})
}

func TestScanLines(t *testing.T) {
	n := 0
	in := bytes.NewBufferString("event=ran id=a\nother\nevent=answered id=a\n")
	if err := scanLines(in, func(*logLine) { n++ }); err != nil || n != 2 {
		t.Errorf("got %d events and %v, want 2", n, err)
	}
}

// TestWhySpan checks that requests that ended outside --from and --to are
// ignored.
func TestWhySpan(t *testing.T) {
	all, err := runCommand(t, "why", "testdata/requests.log")
	if err != nil {
		t.Fatal(err)
	}
	for name, args := range map[string][]string{
		"before": {"why", "--to", "2000-01-01T00:00:00Z", "testdata/requests.log"},
		"after":  {"why", "--from", "2100-01-01T00:00:00Z", "testdata/requests.log"},
	} {
		got, err := runCommand(t, args...)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(got, "\n") != 1 || strings.Count(all, "\n") < 2 {
			t.Errorf("%s: got\n%s\nwant the header alone", name, got)
		}
	}
}

// TestWhyPlot plots the results of requests. Logs without an ended request must
// give an error instead of an empty plot.
func TestWhyPlot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "results.svg")
	if _, err := runCommand(t, "why", "--plot", file, "testdata/requests.log"); err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "refused", "failed"} {
		if !strings.Contains(string(body), want) {
			t.Errorf("got no %q in the plot", want)
		}
	}
	if _, err := runCommand(t, "why", "--plot", file, "--to", "2000-01-01T00:00:00Z", "testdata/requests.log"); err == nil {
		t.Error("no ended request: got no error, want one")
	}
}

// TestTraceTurnedAway explains calls that their entry rejected before it sent
// them to a VM.
func TestTraceTurnedAway(t *testing.T) {
	for reason, want := range map[string]string{
		"no-configuration": "knew no routes yet",
		"stopping":         "the node was stopping",
		"no-route":         "no route of version 12",
		"bad-header":       "its id is missing",
		"too-large":        "status 503: too-large",
	} {
		log := "time=2026-01-07T10:18:20.100Z event=turned-away id=a outcome=not-run reason=" + reason + " status=503 version=12\n"
		file := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := runCommand(t, "trace", "a", file)
		if err != nil || !strings.Contains(got, want) {
			t.Errorf("%s: got %q, %v, want %q in it", reason, got, err, want)
		}
	}
}

// TestTimeline counts requests of all results. A sampled line must count as the
// number of requests that it stands for.
func TestTimeline(t *testing.T) {
	var tl timeline
	for _, text := range []string{
		"time=2026-01-07T10:18:20.100Z event=answered id=a kind=k outcome=answered status=200 took_ms=5 target_ms=10 sample=32",
		"time=2026-01-07T10:18:20.900Z event=answered id=b kind=k outcome=answered status=200 took_ms=15 target_ms=10",
		"time=2026-01-07T10:18:22.000Z event=answered id=c kind=k outcome=not-run status=0 took_ms=0 target_ms=10",
		"time=2026-01-07T10:18:22.000Z event=answered id=d kind=k outcome=unknown status=0 took_ms=0 target_ms=10",
	} {
		l, ok := parseLine(text)
		if !ok {
			t.Fatalf("no event in %q", text)
		}
		tl.add(l)
	}
	first, last := tl.span()
	if got, want := last-first, int64(2); got != want {
		t.Errorf("span: got %d s, want %d", got, want)
	}
	for name, want := range map[string]float64{"k in time": 32, "k late": 1, "k refused": 1, "k failed": 1} {
		got := 0.0
		for _, p := range points(tl.counts[name], first, last) {
			got += p.Y
		}
		if got != want {
			t.Errorf("%s: got %.0f, want %.0f", name, got, want)
		}
	}
}
