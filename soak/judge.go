package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The rules that the judge checks.
const (
	// ruleTwice: non-idempotent work ran more than once.
	ruleTwice = "TWICE"
	// ruleUntrue: work that was told as not run ran, or answered work did not run.
	ruleUntrue = "UNTRUE"
	// ruleMixed: a caller got the answer to another request.
	ruleMixed = "MIXED"
	// ruleLost: a request that was accepted got no answer although its node was
	// neither killed nor paused.
	ruleLost = "LOST"
	// ruleCut: a request got no certain outcome although the only faults meanwhile
	// were planned stops and faults of connections.
	ruleCut = "CUT"
	// ruleExit: a node ended by itself, or a planned stop failed.
	ruleExit = "EXIT"
	// ruleBack: a node went back to an older revision.
	ruleBack = "BACK"
	// ruleForce: a revision was not in force everywhere in time.
	ruleForce = "FORCE"
	// ruleRecover: service did not recover in time after the last fault.
	ruleRecover = "RECOVER"
)

// finding is one broken rule.
type finding struct {
	Rule string `json:"rule"`
	// Subject is the id of the request or the name of the VM.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// judge collects findings. It is safe for concurrent use.
type judge struct {
	mu       sync.Mutex
	findings []finding
}

func (j *judge) add(f finding) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.findings = append(j.findings, f)
}

// checkRuns checks that no non-idempotent work ran more than once. Runs holds the
// number of runs by the id of the request, for one kind.
func (j *judge) checkRuns(kind string, runs map[string]int) {
	for id, n := range runs {
		if n > 1 {
			j.add(finding{ruleTwice, id, fmt.Sprintf("%d runs of kind %s", n, kind)})
		}
	}
}

// doubtful are the faults that may leave the outcome of a request in doubt.
var doubtful = []faultKind{faultKill, faultPauseNode, faultPauseUpstream, faultCut, faultSlow, faultCopies}

// mayBeUncertain reports whether the faults meanwhile explain a request without a
// certain outcome. After a fault of a connection the outcome of work that is not
// idempotent is asked for, which fails only if its node has stopped since then;
// another run of idempotent work is a retry, whose number is limited.
func mayBeUncertain(kind string, anywhere faultCheck) bool {
	if anywhere(doubtful...) {
		return true
	}
	return anywhere(faultBreak, faultSilence) && (kind == kindHistory || anywhere(faultStop))
}

// faultCheck reports whether one of some faults hit a VM while a request was under
// way.
type faultCheck func(...faultKind) bool

// checkResult checks what a caller was told. Runs is how often the request's own
// work ran; atNode tells of the faults of its node, and anywhere of those of all.
func (j *judge) checkResult(r result, runs int, atNode, anywhere faultCheck) {
	if r.Err != nil {
		j.checkUnanswered(r, runs, atNode)
		return
	}
	uncertain := r.Outcome == "unknown" || r.Outcome == "answered" && r.Status != http.StatusOK
	if uncertain && !mayBeUncertain(r.Kind, anywhere) {
		j.add(finding{ruleCut, r.ID, fmt.Sprintf("status %d, %s, from %s to %s", r.Status, r.Outcome, r.From, r.To)})
	}
	switch r.Outcome {
	case "answered":
		if r.Status != http.StatusOK {
			return
		}
		if runs == 0 {
			j.add(finding{ruleUntrue, r.ID, "answered, but it did not run"})
		}
		if r.Body != bodyOf(r.ID) {
			j.add(finding{ruleMixed, r.ID, fmt.Sprintf("got the body %.60q", r.Body)})
		}
	case "not-run":
		if runs > 0 {
			j.add(finding{ruleUntrue, r.ID, fmt.Sprintf("told as not run, but it ran %d times", runs)})
		}
	case "unknown":
	default:
		j.add(finding{ruleLost, r.ID, fmt.Sprintf("status %d without an outcome", r.Status)})
	}
}

// checkUnanswered checks a request without an answer. Nobody can answer for a node
// that is killed or paused. Nor can a node that stops as planned help that a
// request is sent on an idle connection just when it closes that.
func (j *judge) checkUnanswered(r result, runs int, atNode faultCheck) {
	switch {
	case atNode(faultKill, faultPauseNode):
	case atNode(faultStop) && (r.Refused || r.Raced) && runs == 0:
	default:
		j.add(finding{ruleLost, r.ID, fmt.Sprintf("no answer from %s to %s, ran %d times: %v", r.From, r.To, runs, r.Err)})
	}
}

// checkRecovery checks that most requests after a time were answered.
func (j *judge) checkRecovery(results []result, after time.Duration) {
	sent, answered := 0, 0
	for _, r := range results {
		if r.From < after {
			continue
		}
		sent++
		if r.Err == nil && r.Status == http.StatusOK {
			answered++
		}
	}
	if float64(answered) < recoveredShare*float64(sent) {
		j.add(finding{ruleRecover, "", fmt.Sprintf("%d of %d requests answered %s after the last fault", answered, sent, recoveryTime)})
	}
}
