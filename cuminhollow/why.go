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
type ending struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	Count   int    `json:"count"`
	// Example is the id of one of them.
	Example string `json:"example"`
}

// within reports whether a time lies in a span; a zero end is no bound.
func within(at, from, to time.Time) bool {
	return (from.IsZero() || !at.Before(from)) && (to.IsZero() || at.Before(to))
}

// why counts refusals, failures and late answers by their cause.
func why(_ context.Context, c *cli.Command) error {
	found := make(map[ending]*ending)
	seconds := new(timeline)
	err := readLines(c, c.Args().Slice(), func(l *line) {
		if l.Event != eventAnswered && l.Event != eventTurnedAway || !within(l.Time, c.Timestamp("from"), c.Timestamp("to")) {
			return
		}
		seconds.add(l)
		key := ending{Kind: l.Fields["kind"], Outcome: l.Fields["outcome"], Reason: l.Fields["reason"], Status: l.number("status")}
		late := l.number("took_ms") > l.number("target_ms")
		if failed(l) == 0 {
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
	endings := make([]*ending, 0, len(found))
	for _, e := range found {
		endings = append(endings, e)
	}
	slices.SortFunc(endings, func(a, b *ending) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	t := &table{head: []string{"COUNT", "KIND", "OUTCOME", "REASON", "STATUS", "EXAMPLE"}}
	for _, e := range endings {
		t.add(e.Count, e.Kind, e.Outcome, e.Reason, e.Status, e.Example)
	}
	return show(c, endings, t)
}
