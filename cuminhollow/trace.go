package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// Events of a request in the logs.
const (
	eventAnswered = "answered"
	eventRan      = "ran"
	eventRefused  = "refused"
	// eventMoved is a failover to another VM.
	eventMoved   = "moved"
	eventRetried = "retried"
	// eventTurnedAway is a call rejected by its entry before it was sent to a
	// VM.
	eventTurnedAway = "turned-away"
)

// Outcomes of a request in the logs.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// requestTrace holds the log lines of a request and its nested calls, and an
// explanation of the result.
type requestTrace struct {
	ID    string     `json:"id"`
	Cause string     `json:"cause"`
	Lines []*logLine `json:"lines"`
}

// traceRequest prints the log lines of a request in order and explains its
// result.
func traceRequest(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return trace.BadParameter("no request id given: use trace ID [FILE...]")
	}
	r := requestTrace{ID: id}
	err := forEachLine(c, c.Args().Tail(), func(l *logLine) {
		if l.ID == id || strings.HasPrefix(l.ID, id+".") {
			r.Lines = append(r.Lines, l)
		}
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if len(r.Lines) == 0 {
		return trace.NotFound("request %q is not in the logs", id)
	}
	r.sortLines()
	r.Cause = r.explainCall(id)
	t := &table{header: []string{"TIME", "EVENT", "CALL", "VM", "OUTCOME", "REASON", "DETAIL"}}
	for _, l := range r.Lines {
		t.addRow(l.Time.Format("15:04:05.000"), l.Event, r.callLabel(l), l.Fields["vm"], l.Fields["outcome"], l.Fields["reason"], eventDetail(l))
	}
	if err := printReport(c, r, t); err != nil {
		return err
	}
	if c.String("output") == outputTable {
		_, err = fmt.Fprintln(c.Root().Writer, "\n"+r.Cause)
	}
	return trace.Wrap(err)
}

// eventOrder returns the position of an event among those of one call: attempts
// end before a failover or retry, and the answer is the last event.
func eventOrder(event string) int {
	switch event {
	case eventAnswered, eventTurnedAway:
		return 2
	case eventMoved, eventRetried:
		return 1
	default:
		return 0
	}
}

// sortLines sorts the lines by time. Lines of one call that are closer than
// maxClockSkew are sorted by eventOrder, since the clocks of VMs differ.
func (r *requestTrace) sortLines() {
	const maxClockSkew = 50 // milliseconds
	slices.SortStableFunc(r.Lines, func(a, b *logLine) int {
		return a.Time.Compare(b.Time)
	})
	for i := 1; i < len(r.Lines); i++ {
		for j := i; j > 0; j-- {
			a, b := r.Lines[j-1], r.Lines[j]
			near := b.Time.Sub(a.Time).Milliseconds() < maxClockSkew
			if a.ID != b.ID || !near || eventOrder(a.Event) <= eventOrder(b.Event) {
				break
			}
			r.Lines[j-1], r.Lines[j] = b, a
		}
	}
}

// callLabel returns the kind of a line's call, indented by its nesting depth.
func (r *requestTrace) callLabel(l *logLine) string {
	depth := strings.Count(strings.TrimPrefix(l.ID, r.ID), ".")
	return strings.Repeat("  ", depth) + l.Fields["kind"]
}

// eventDetail describes the values that led to an event.
func eventDetail(l *logLine) string {
	switch l.Event {
	case eventAnswered:
		return fmt.Sprintf("status %s after %s ms of %s, %s tries", l.Fields["status"], l.Fields["took_ms"], l.Fields["target_ms"], l.Fields["tries"])
	case eventRan:
		return fmt.Sprintf("status %s, queued %s ms, ran %s ms, %s ms left", l.Fields["status"], l.Fields["queued_ms"], l.Fields["ran_ms"], l.Fields["left_ms"])
	case eventTurnedAway:
		return fmt.Sprintf("status %s", l.Fields["status"])
	case eventRefused:
		return fmt.Sprintf("%s of %s slots in use, %s waiting, mean run %s ms, %s ms left", l.Fields["running"], l.Fields["limit"], l.Fields["waiting"], l.Fields["mean_ms"], l.Fields["left_ms"])
	default:
		return fmt.Sprintf("told wait %s ms", l.Fields["wait_ms"])
	}
}

// lastLine returns the last line of a call that has one of the events, or nil.
func (r *requestTrace) lastLine(id string, events ...string) *logLine {
	for _, l := range slices.Backward(r.Lines) {
		if l.ID == id && slices.Contains(events, l.Event) {
			return l
		}
	}
	return nil
}

// explainCall explains in a sentence why a call ended as it did.
func (r *requestTrace) explainCall(id string) string {
	end := r.lastLine(id, eventAnswered, eventTurnedAway)
	if end == nil {
		return "The logs do not show how it ended: only a sample of ordinary successes is logged, or the log of its entry node is missing."
	}
	if end.Event == eventTurnedAway {
		return explainTurnedAway(end)
	}
	switch end.Fields["outcome"] {
	case outcomeNotRun:
		return r.explainNotRun(id, end)
	case outcomeUnknown:
		return r.explainUnknown(id, end)
	}
	late := end.intField("took_ms") > end.intField("target_ms")
	switch status := end.intField("status"); {
	case status >= 500:
		return r.explainNested(id, fmt.Sprintf("The upstream on %s answered %d", end.Fields["vm"], status))
	case late:
		return r.explainNested(id, fmt.Sprintf("It was answered after %d ms, later than its target of %d ms", end.intField("took_ms"), end.intField("target_ms")))
	default:
		return fmt.Sprintf("It was answered with status %d within its target time.", status)
	}
}

// explainNotRun explains why a call that ended with line end did not run.
func (r *requestTrace) explainNotRun(id string, end *logLine) string {
	where := end.Fields["vm"]
	if rejection := r.lastLine(id, eventRefused); rejection != nil {
		where = fmt.Sprintf("%s (%s)", rejection.Fields["vm"], eventDetail(rejection))
	}
	switch reason := end.Fields["reason"]; reason {
	case "onward-overload":
		return "It did not run: downstream services that this kind of work calls are overloaded, or most of this work fails, as observed by " + where + "."
	case "overload", "busy":
		return "It did not run: no slot would have been free in time at " + where + "."
	case "expired":
		return "It did not run: its time ran out before a slot was free at " + where + "."
	case "leaving":
		return "It did not run: the VMs that were tried are leaving."
	case "server-refused", "no-tries-left":
		return "It did not run: the upstream rejected it and the retry limit allowed no further attempt, at " + where + "."
	case "no-vm":
		return "It did not run: no VM of service " + end.Fields["service"] + " accepts work."
	default:
		return fmt.Sprintf("It did not run: %s at %s.", reason, where)
	}
}

// explainTurnedAway explains why the entry rejected a call before it was sent
// to a VM.
func explainTurnedAway(end *logLine) string {
	cause := end.Fields["reason"]
	switch cause {
	case "no-configuration":
		cause = "the node had just started and knew no routes yet"
	case "stopping":
		cause = "the node was stopping and accepted no more calls"
	case "no-route":
		cause = "no route of version " + end.Fields["version"] + " matches its host and path"
	case "bad-header":
		cause = "its id is missing or its deadline cannot be parsed"
	default:
	}
	return fmt.Sprintf("It did not run: its entry node answered status %s: %s.", end.Fields["status"], cause)
}

// explainUnknown explains why the outcome of a call that ended with line end is
// unknown.
func (r *requestTrace) explainUnknown(id string, end *logLine) string {
	run := r.lastLine(id, eventRan)
	if run == nil {
		return fmt.Sprintf("It may have run: the connection to the node of %s was lost, or that VM's log is missing (%s).", end.Fields["vm"], end.Fields["reason"])
	}
	if run.Fields["outcome"] == outcomeAnswered {
		return r.explainNested(id, fmt.Sprintf("The upstream on %s answered %d after %d ms, when the caller's deadline had passed", run.Fields["vm"], run.intField("status"), run.intField("ran_ms")))
	}
	if run.Fields["reason"] == "timeout" {
		return r.explainNested(id, fmt.Sprintf("It may have run: the upstream on %s had not answered when its time ran out, after %d ms", run.Fields["vm"], run.intField("ran_ms")))
	}
	return fmt.Sprintf("It ran at least in part: the upstream on %s closed the connection after %d ms (%s).", run.Fields["vm"], run.intField("ran_ms"), run.Fields["reason"])
}

// explainNested appends to the explanation what that of one nested call: the
// slowest of those that failed, or the slowest of all if none failed.
func (r *requestTrace) explainNested(id, what string) string {
	var worst *logLine
	for _, l := range r.Lines {
		if l.Event != eventAnswered || !isNestedCall(id, l.ID) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(severity(l), severity(worst)), cmp.Compare(l.intField("took_ms"), worst.intField("took_ms"))) > 0 {
			worst = l
		}
	}
	if worst == nil {
		return what + "; the logs do not show the end of any nested call that it made."
	}
	return fmt.Sprintf("%s; its nested call of kind %s took %d ms: %s", what, worst.Fields["kind"], worst.intField("took_ms"), r.explainCall(worst.ID))
}

// severity returns 1 for a call that ended without an answer or with a status
// of 500 or more, and 0 otherwise.
func severity(l *logLine) int {
	if l.Fields["outcome"] != outcomeAnswered || l.intField("status") >= 500 {
		return 1
	}
	return 0
}

// isNestedCall reports whether the call with this id is a direct nested call of
// parent, and not a nested call of another nested call.
func isNestedCall(parent, id string) bool {
	rest, ok := strings.CutPrefix(id, parent+".")
	return ok && !strings.Contains(rest, ".")
}
