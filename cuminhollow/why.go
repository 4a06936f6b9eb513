package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// causeCount is the number of requests of a kind that ended with the same
// outcome, reason and status. As a map key it has zero Count and Example.
type causeCount struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	Count   int    `json:"count"`
	// Example is the id of the last of these requests.
	Example string `json:"example"`
}

// inSpan reports whether at is not before from and before to. A zero from or to
// sets no bound.
func inSpan(at, from, to time.Time) bool {
	return (from.IsZero() || !at.Before(from)) && (to.IsZero() || at.Before(to))
}

// countCauses counts rejections, failures and late answers in logs by their
// cause and prints the counts. With --plot it also plots all requests over
// time.
func countCauses(_ context.Context, c *cli.Command) error {
	counts := make(map[causeCount]*causeCount)
	tl := new(timeline)
	err := forEachLine(c, c.Args().Slice(), func(l *logLine) {
		if l.Event != eventAnswered && l.Event != eventTurnedAway || !inSpan(l.Time, c.Timestamp("from"), c.Timestamp("to")) {
			return
		}
		tl.add(l)
		key := causeCount{Kind: l.Fields["kind"], Outcome: l.Fields["outcome"], Reason: l.Fields["reason"], Status: l.intField("status")}
		late := l.intField("took_ms") > l.intField("target_ms")
		if severity(l) == 0 {
			if !late {
				return
			}
			key.Reason = "late"
		}
		count := counts[key]
		if count == nil {
			copied := key
			count = &copied
			counts[key] = count
		}
		count.Count++
		count.Example = l.ID
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if path := c.String("plot"); path != "" {
		if err := tl.plot(path); err != nil {
			return trace.Wrap(err)
		}
	}
	sorted := make([]*causeCount, 0, len(counts))
	for _, count := range counts {
		sorted = append(sorted, count)
	}
	slices.SortFunc(sorted, func(a, b *causeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	t := &table{header: []string{"COUNT", "KIND", "OUTCOME", "REASON", "STATUS", "EXAMPLE"}}
	for _, count := range sorted {
		t.addRow(count.Count, count.Kind, count.Outcome, count.Reason, count.Status, count.Example)
	}
	return printReport(c, sorted, t)
}
