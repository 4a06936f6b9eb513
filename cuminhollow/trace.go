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

// The events of a request in the logs.
const (
	eventAnswered = "answered"
	eventRan      = "ran"
	eventRefused  = "refused"
	eventMoved    = "moved"
	eventRetried  = "retried"
	// eventTurnedAway is a call refused before it became work.
	eventTurnedAway = "turned-away"
)

// The outcomes of a request in the logs.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// story is all that the logs tell of one request and its onward calls.
type requestTrace struct {
	ID    string     `json:"id"`
	Cause string     `json:"cause"`
	Lines []*logLine `json:"lines"`
}

// traceRequest prints the lines of a request in order and why it ended so.
func traceRequest(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return trace.BadParameter("which request? give its id, then files with logs")
	}
	s := requestTrace{ID: id}
	err := forEachLine(c, c.Args().Tail(), func(l *logLine) {
		if l.ID == id || strings.HasPrefix(l.ID, id+".") {
			s.Lines = append(s.Lines, l)
		}
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if len(s.Lines) == 0 {
		return trace.NotFound("no line of request %q in these logs", id)
	}
	s.sortLines()
	s.Cause = s.explainCall(id)
	t := &table{header: []string{"TIME", "EVENT", "CALL", "VM", "OUTCOME", "REASON", "DETAIL"}}
	for _, l := range s.Lines {
		t.addRow(l.Time.Format("15:04:05.000"), l.Event, s.callLabel(l), l.Fields["vm"], l.Fields["outcome"], l.Fields["reason"], eventDetail(l))
	}
	if err := printReport(c, s, t); err != nil {
		return err
	}
	if c.String("output") == outputTable {
		_, err = fmt.Fprintln(c.Root().Writer, "\n"+s.Cause)
	}
	return trace.Wrap(err)
}

// order is the place of an event among those of one call: clocks of VMs differ,
// but a call is answered last.
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

// sort orders the lines by time, and those of one call that are less than the
// clocks' difference apart by what must come first.
func (s *requestTrace) sortLines() {
	const clocksDiffer = 50 // milliseconds
	slices.SortStableFunc(s.Lines, func(a, b *logLine) int {
		return a.Time.Compare(b.Time)
	})
	for i := 1; i < len(s.Lines); i++ {
		for j := i; j > 0; j-- {
			a, b := s.Lines[j-1], s.Lines[j]
			near := b.Time.Sub(a.Time).Milliseconds() < clocksDiffer
			if a.ID != b.ID || !near || eventOrder(a.Event) <= eventOrder(b.Event) {
				break
			}
			s.Lines[j-1], s.Lines[j] = b, a
		}
	}
}

// call shows the kind of a line's call, indented by its depth.
func (s *requestTrace) callLabel(l *logLine) string {
	depth := strings.Count(strings.TrimPrefix(l.ID, s.ID), ".")
	return strings.Repeat("  ", depth) + l.Fields["kind"]
}

// detail shows what decided an event.
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

// last returns the last line of a call with one of the events; nil for none.
func (s *requestTrace) lastLine(id string, events ...string) *logLine {
	for _, l := range slices.Backward(s.Lines) {
		if l.ID == id && slices.Contains(events, l.Event) {
			return l
		}
	}
	return nil
}

// explain says in a sentence why a call ended as it did.
func (s *requestTrace) explainCall(id string) string {
	a := s.lastLine(id, eventAnswered, eventTurnedAway)
	if a == nil {
		return "No line tells how it ended: of ordinary successes only a sample is logged, or the log of its entry is missing."
	}
	if a.Event == eventTurnedAway {
		return explainTurnedAway(a)
	}
	switch a.Fields["outcome"] {
	case outcomeNotRun:
		return s.explainNotRun(id, a)
	case outcomeUnknown:
		return s.explainUnknown(id, a)
	}
	late := a.intField("took_ms") > a.intField("target_ms")
	switch status := a.intField("status"); {
	case status >= 500:
		return s.explainNested(id, fmt.Sprintf("The upstream on %s answered %d", a.Fields["vm"], status))
	case late:
		return s.explainNested(id, fmt.Sprintf("It was answered after %d ms, later than its target of %d ms", a.intField("took_ms"), a.intField("target_ms")))
	default:
		return fmt.Sprintf("It was answered with %d in good time.", status)
	}
}

func (s *requestTrace) explainNotRun(id string, a *logLine) string {
	where := a.Fields["vm"]
	if r := s.lastLine(id, eventRefused); r != nil {
		where = fmt.Sprintf("%s (%s)", r.Fields["vm"], eventDetail(r))
	}
	switch reason := a.Fields["reason"]; reason {
	case "onward-overload":
		return "It did not run: services that such work calls further down are full, or most of such work fails, as " + where + " had learned."
	case "overload", "busy":
		return "It did not run: no slot would have been free in time at " + where + "."
	case "expired":
		return "It did not run: its time was over before a slot was free at " + where + "."
	case "leaving":
		return "It did not run: the VMs that were asked are leaving."
	case "server-refused", "no-tries-left":
		return "It did not run: the upstream refused it and the bound on repeats left no other try, at " + where + "."
	case "no-vm":
		return "It did not run: no VM of service " + a.Fields["service"] + " takes work."
	default:
		return fmt.Sprintf("It did not run: %s at %s.", reason, where)
	}
}

// explainTurnedAway says why a call never became work.
func explainTurnedAway(a *logLine) string {
	why := a.Fields["reason"]
	switch why {
	case "no-configuration":
		why = "the node had just started and knew no routes yet"
	case "stopping":
		why = "the node was stopping and took no calls any more"
	case "no-route":
		why = "no route of version " + a.Fields["version"] + " fits its host and path"
	case "bad-header":
		why = "its id is missing or its deadline cannot be read"
	default:
	}
	return fmt.Sprintf("It did not run: it was answered %s at its entry, since %s.", a.Fields["status"], why)
}

func (s *requestTrace) explainUnknown(id string, a *logLine) string {
	r := s.lastLine(id, eventRan)
	if r == nil {
		return fmt.Sprintf("It may have run: the connection to the node of %s was lost, or that VM's log is missing (%s).", a.Fields["vm"], a.Fields["reason"])
	}
	if r.Fields["outcome"] == outcomeAnswered {
		return s.explainNested(id, fmt.Sprintf("The upstream on %s answered %d after %d ms, when the caller's time was over", r.Fields["vm"], r.intField("status"), r.intField("ran_ms")))
	}
	if r.Fields["reason"] == "timeout" {
		return s.explainNested(id, fmt.Sprintf("It may have run: the upstream on %s had not answered when its time was over, after %d ms", r.Fields["vm"], r.intField("ran_ms")))
	}
	return fmt.Sprintf("It ran, or part of it did: the upstream on %s broke the connection off after %d ms (%s).", r.Fields["vm"], r.intField("ran_ms"), r.Fields["reason"])
}

// explainBelow adds what the onward calls of a call tell: the last that failed,
// or the slowest.
func (s *requestTrace) explainNested(id, what string) string {
	var worst *logLine
	for _, l := range s.Lines {
		if l.Event != eventAnswered || !isNestedCall(id, l.ID) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(severity(l), severity(worst)), cmp.Compare(l.intField("took_ms"), worst.intField("took_ms"))) > 0 {
			worst = l
		}
	}
	if worst == nil {
		return what + "; the logs have no line of a call that it made."
	}
	return fmt.Sprintf("%s; its call of kind %s took %d ms: %s", what, worst.Fields["kind"], worst.intField("took_ms"), s.explainCall(worst.ID))
}

// failed is 1 for the end of a call that brought no whole answer.
func severity(l *logLine) int {
	if l.Fields["outcome"] != outcomeAnswered || l.intField("status") >= 500 {
		return 1
	}
	return 0
}

// isChild reports whether a call was made by the run of another one.
func isNestedCall(parent, id string) bool {
	rest, ok := strings.CutPrefix(id, parent+".")
	return ok && !strings.Contains(rest, ".")
}
