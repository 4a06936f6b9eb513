package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// ending counts the requests of a kind that ended in one way.
type causeCount struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	Count   int    `json:"count"`
	// Example is the id of one of them.
	Example string `json:"example"`
}

// within reports whether a time lies in a span; a zero end is no bound.
func inSpan(at, from, to time.Time) bool {
	return (from.IsZero() || !at.Before(from)) && (to.IsZero() || at.Before(to))
}

// why counts refusals, failures and late answers by their cause.
func countCauses(_ context.Context, c *cli.Command) error {
	found := make(map[causeCount]*causeCount)
	seconds := new(timeline)
	err := forEachLine(c, c.Args().Slice(), func(l *logLine) {
		if l.Event != eventAnswered && l.Event != eventTurnedAway || !inSpan(l.Time, c.Timestamp("from"), c.Timestamp("to")) {
			return
		}
		seconds.add(l)
		key := causeCount{Kind: l.Fields["kind"], Outcome: l.Fields["outcome"], Reason: l.Fields["reason"], Status: l.intField("status")}
		late := l.intField("took_ms") > l.intField("target_ms")
		if severity(l) == 0 {
			if !late {
				return
			}
			key.Reason = "late"
		}
		e := found[key]
		if e == nil {
			copied := key
			e = &copied
			found[key] = e
		}
		e.Count++
		e.Example = l.ID
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if path := c.String("plot"); path != "" {
		if err := seconds.plot(path); err != nil {
			return trace.Wrap(err)
		}
	}
	endings := make([]*causeCount, 0, len(found))
	for _, e := range found {
		endings = append(endings, e)
	}
	slices.SortFunc(endings, func(a, b *causeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	t := &table{header: []string{"COUNT", "KIND", "OUTCOME", "REASON", "STATUS", "EXAMPLE"}}
	for _, e := range endings {
		t.addRow(e.Count, e.Kind, e.Outcome, e.Reason, e.Status, e.Example)
	}
	return printReport(c, endings, t)
}
