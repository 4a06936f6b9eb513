package main

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestJudge checks which results of a request break a rule.
func TestJudge(t *testing.T) {
	answered := func(body string) result {
		return result{ID: "seal-1", Kind: kindSeal, Status: http.StatusOK, Outcome: "answered", Body: body}
	}
	lost := func(refused, raced bool) result {
		return result{ID: "seal-1", Err: errors.New("closed"), Refused: refused, Raced: raced}
	}
	own := bodyOf("seal-1")
	tests := []struct {
		name   string
		result result
		runs   int
		faults []faultKind
		want   string
	}{
		{name: "answered", result: answered(own), runs: 1},
		{name: "answered, never ran", result: answered(own), want: ruleUntrue},
		{name: "answer to another request", result: answered("seal-2"), runs: 1, want: ruleMixed},
		{name: "answered with an error", result: result{Outcome: "answered", Status: 500}, faults: []faultKind{faultKill}},
		{name: "answered with an error during a stop", result: result{Outcome: "answered", Status: 500}, faults: []faultKind{faultStop}, want: ruleCut},
		{name: "not run", result: result{Outcome: "not-run", Status: 503}},
		{name: "not run, but ran", result: result{Outcome: "not-run", Status: 503}, runs: 1, want: ruleUntrue},
		{name: "unknown, ran", result: result{Outcome: "unknown", Status: 504}, runs: 1, faults: []faultKind{faultPauseNode}},
		{name: "unknown during a stop", result: result{Outcome: "unknown", Status: 504}, faults: []faultKind{faultStop}, want: ruleCut},
		{name: "idempotent, unknown after a break", result: result{Kind: kindHistory, Outcome: "unknown"}, faults: []faultKind{faultBreak}},
		{name: "not idempotent, unknown after a break", result: result{Kind: kindSeal, Outcome: "unknown"}, faults: []faultKind{faultBreak}, want: ruleCut},
		{name: "not idempotent, unknown after a break and a stop", result: result{Kind: kindSeal, Outcome: "unknown"}, faults: []faultKind{faultBreak, faultStop}},
		{name: "unknown without a fault", result: result{Outcome: "unknown", Status: 504}, want: ruleCut},
		{name: "no outcome", result: result{Status: 200}, want: ruleLost},
		{name: "cut off", result: lost(false, false), want: ruleLost},
		{name: "cut off by a planned stop", result: lost(false, false), faults: []faultKind{faultStop}, want: ruleLost},
		{name: "cut off by a kill", result: lost(false, false), faults: []faultKind{faultKill}},
		{name: "no connection", result: lost(true, false), want: ruleLost},
		{name: "no connection to a stopped node", result: lost(true, false), faults: []faultKind{faultStop}},
		{name: "idle connection closed by a stop", result: lost(false, true), faults: []faultKind{faultStop}},
		{name: "idle connection closed by a stop, but it ran", result: lost(false, true), runs: 1, faults: []faultKind{faultStop}, want: ruleLost},
		{name: "idle connection closed for no reason", result: lost(false, true), want: ruleLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var j judge
			faults := func(kinds ...faultKind) bool {
				return slices.ContainsFunc(tt.faults, func(k faultKind) bool { return slices.Contains(kinds, k) })
			}
			j.checkResult(tt.result, tt.runs, faults, faults)
			got := ""
			if len(j.findings) > 0 {
				got = j.findings[0].Rule
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestJudgeCounts checks the rules about all requests together.
func TestJudgeCounts(t *testing.T) {
	var j judge
	j.checkRuns(kindSeal, map[string]int{"a": 1, "b": 2})
	ok := result{From: 2 * time.Second, Status: http.StatusOK}
	early, failed := result{From: time.Second, Status: 503}, result{From: 2 * time.Second, Status: 503}
	j.checkRecovery([]result{early, ok}, 2*time.Second)
	j.checkRecovery([]result{ok, failed}, 2*time.Second)
	var got []string
	for _, f := range j.findings {
		got = append(got, f.Rule)
	}
	if want := []string{ruleTwice, ruleRecover}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestSchedule checks that a seed gives the same faults each time, and that another
// one gives others.
func TestSchedule(t *testing.T) {
	const vms, length = 12, 20 * time.Second
	a := newSchedule(1, vms, length)
	if len(a) == 0 || !slices.Equal(a, newSchedule(1, vms, length)) {
		t.Errorf("got %d faults that differ between two calls", len(a))
	}
	if slices.Equal(a, newSchedule(2, vms, length)) {
		t.Error("two seeds give the same faults")
	}
	for _, e := range a {
		if e.At < quietStart || e.At >= length || e.Span < minSpan || e.Span > maxSpan {
			t.Errorf("fault out of bounds: %+v", e)
		}
		if e.Kind.ofPlatform() != (e.VM < 0) || e.VM >= vms {
			t.Errorf("fault of another VM: %+v", e)
		}
	}
}
