package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestTrace reads lines of real runs: refused in a burst, a lost answer, late
// because a deep call waited, and retried.
func TestTrace(t *testing.T) {
	tests := []struct {
		name, id string
		want     []string
	}{
		{"refused", "b3ac9cf554fbc181", []string{"55 of 72 slots in use", "It did not run: calls that such work makes further down"}},
		{"answer lost", "096cf10052ad3717", []string{"It ran, or part of it did", "broke the connection off"}},
		{"deep call waited", "cd2af73222151159", []string{"answered 504", "its call of kind r-e6iazjn", "when the caller's time was over", "It did not run: no slot would have been free in time"}},
		{"retried", "8fa65c7c023b8dba", []string{"retried", "only a sample is logged"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := runCommand(t, "trace", tt.id, "testdata/requests.log")
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got\n%s\nwant it to hold %q", got, want)
				}
			}
			if other := "fa65c7c023b8dba"; !strings.HasSuffix(tt.id, other) && strings.Contains(got, other) {
				t.Errorf("got lines of another request:\n%s", got)
			}
		})
	}
}

func TestTraceRefuses(t *testing.T) {
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
			t.Errorf("got\n%s\nwant it to hold %q", got, want)
		}
	}
}

func TestParseLine(t *testing.T) {
	l, ok := parseLine(`12.5 side-1 time=2026-03-28T18:59:09.082Z event=ran id=a reason="two words" status=200 empty=""`)
	if !ok || l.Event != "ran" || l.ID != "a" || l.Fields["reason"] != "two words" || l.number("status") != 200 || l.Time.IsZero() {
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

func TestScanReadsAll(t *testing.T) {
	n := 0
	in := bytes.NewBufferString("event=ran id=a\nother\nevent=answered id=a\n")
	if err := scan(in, func(*line) { n++ }); err != nil || n != 2 {
		t.Errorf("got %d events and %v, want 2", n, err)
	}
}
