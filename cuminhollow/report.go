package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"cuminhollow.example/booking"
	"cuminhollow.example/depot"
	"cuminhollow.example/record"
)

func status(ctx context.Context, c *cli.Command) error {
	replies, err := queryNodes[depot.Status](ctx, c, http.MethodGet, "/v1/status")
	if err != nil {
		return trace.Wrap(err)
	}
	return printReport(c, replies, statusTable(replies))
}

// drain asks nodes to leave and shows their state.
func drain(ctx context.Context, c *cli.Command) error {
	replies, err := queryNodes[depot.Status](ctx, c, http.MethodPost, "/v1/drain")
	if err != nil {
		return trace.Wrap(err)
	}
	return printReport(c, replies, statusTable(replies))
}

func statusTable(replies []reply[depot.Status]) *table {
	t := &table{header: []string{"VM", "SERVICE", "ZONE", "STATE", "LIMIT", "RUNNING", "WAITING", "MEAN", "REFUSING", "RECORDS", "FLEET"}}
	for _, r := range replies {
		s := r.Value
		if r.Error != "" {
			t.addRow(r.Node, "", "", "out of reach: "+r.Error, "", "", "", "", "", "", "")
			continue
		}
		t.addRow(s.VM, s.Service, s.Zone, nodeState(s), s.Limit, s.Running, s.Waiting,
			fmt.Sprintf("%.1fms", s.MeanMS), refusedClasses(s), s.Records, s.Fleet)
	}
	return t
}

func nodeState(s depot.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case !s.Ready:
		return "starting"
	default:
		return "ready"
	}
}

// refusing names the first class that a node refuses.
func refusedClasses(s depot.Status) string {
	if s.Refusing >= booking.NumClasses {
		return "nothing"
	}
	class := booking.Class(s.Refusing)
	if class.Protected() {
		return fmt.Sprintf("protected from rank %d", class.Rank())
	}
	return fmt.Sprintf("unprotected from rank %d", class.Rank())
}

func explain(ctx context.Context, c *cli.Command) error {
	kind := c.Args().First()
	if kind == "" {
		return trace.BadParameter("name a kind of work")
	}
	replies, err := queryNodes[depot.Explanation](ctx, c, http.MethodGet, "/v1/explain?kind="+url.QueryEscape(kind))
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"NODE", "REVISION", "DIGEST", "SOURCE", "SCHEMA", "SERVICE", "RANK", "TARGET", "TRIES", "IDEMPOTENT", "PROTECTED", "NOW"}}
	for _, r := range replies {
		e := r.Value
		if r.Error != "" {
			t.addRow(r.Node, "", "", "", "", "", "", "", "", "", "", "out of reach: "+r.Error)
			continue
		}
		t.addRow(r.Node, e.Revision, e.Digest, e.Source, e.Schema, e.Service, e.Rank,
			fmt.Sprintf("%dms", e.TargetMS), e.Tries, e.Idempotent, e.Protected, e.Now)
	}
	return printReport(c, replies, t)
}

func audit(ctx context.Context, c *cli.Command) error {
	replies, err := queryNodes[[]record.Change](ctx, c, http.MethodGet, "/v1/audit")
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"NODE", "AT", "KEY", "FROM", "TO", "DIGEST", "SOURCE", "VERDICT", "REASON"}}
	for _, r := range replies {
		if r.Error != "" {
			t.addRow(r.Node, "", "", "", "", "", "", "out of reach", r.Error)
		}
		for _, e := range r.Value {
			t.addRow(r.Node, e.At, e.Key, e.From, e.To, e.Digest, e.Source, e.Verdict, e.Reason)
		}
	}
	return printReport(c, replies, t)
}

// spread is the number of nodes that hold one revision of a document.
type revisionCount struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Nodes    int    `json:"nodes"`
	Of       int    `json:"of"`
}

// rollout counts which nodes hold which revision of each document, or of one.
func rollout(ctx context.Context, c *cli.Command) error {
	replies, err := queryNodes[[]depot.DocumentVersion](ctx, c, http.MethodGet, "/v1/records")
	if err != nil {
		return trace.Wrap(err)
	}
	count := make(map[depot.DocumentVersion]int)
	for _, r := range replies {
		for _, h := range r.Value {
			if key := c.Args().First(); key == "" || key == h.Key {
				count[h]++
			}
		}
	}
	var out []revisionCount
	for h, n := range count {
		out = append(out, revisionCount{Key: h.Key, Revision: h.Revision, Digest: h.Digest, Nodes: n, Of: len(replies)})
	}
	slices.SortFunc(out, func(a, b revisionCount) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Digest, b.Digest))
	})
	t := &table{header: []string{"KEY", "REVISION", "DIGEST", "NODES"}}
	for _, s := range out {
		t.addRow(s.Key, s.Revision, s.Digest, fmt.Sprintf("%d of %d", s.Nodes, s.Of))
	}
	return printReport(c, out, t)
}
