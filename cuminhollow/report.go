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
	replies, err := ask[depot.Status](ctx, c, http.MethodGet, "/v1/status")
	if err != nil {
		return trace.Wrap(err)
	}
	return show(c, replies, statusTable(replies))
}

// drain asks nodes to leave and shows their state.
func drain(ctx context.Context, c *cli.Command) error {
	replies, err := ask[depot.Status](ctx, c, http.MethodPost, "/v1/drain")
	if err != nil {
		return trace.Wrap(err)
	}
	return show(c, replies, statusTable(replies))
}

func statusTable(replies []reply[depot.Status]) *table {
	t := &table{head: []string{"VM", "SERVICE", "ZONE", "STATE", "LIMIT", "RUNNING", "WAITING", "MEAN", "REFUSING", "RECORDS", "FLEET"}}
	for _, r := range replies {
		s := r.Value
		if r.Error != "" {
			t.add(r.Node, "", "", "out of reach: "+r.Error, "", "", "", "", "", "", "")
			continue
		}
		t.add(s.VM, s.Service, s.Zone, stateOf(s), s.Limit, s.Running, s.Waiting,
			fmt.Sprintf("%.1fms", s.MeanMS), refusing(s), s.Records, s.Fleet)
	}
	return t
}

func stateOf(s depot.Status) string {
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
func refusing(s depot.Status) string {
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
	replies, err := ask[depot.Explanation](ctx, c, http.MethodGet, "/v1/explain?kind="+url.QueryEscape(kind))
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{head: []string{"NODE", "REVISION", "DIGEST", "SOURCE", "SCHEMA", "SERVICE", "RANK", "TARGET", "TRIES", "IDEMPOTENT", "PROTECTED", "NOW"}}
	for _, r := range replies {
		e := r.Value
		if r.Error != "" {
			t.add(r.Node, "", "", "", "", "", "", "", "", "", "", "out of reach: "+r.Error)
			continue
		}
		t.add(r.Node, e.Revision, e.Digest, e.Source, e.Schema, e.Service, e.Rank,
			fmt.Sprintf("%dms", e.TargetMS), e.Tries, e.Idempotent, e.Protected, e.Now)
	}
	return show(c, replies, t)
}

func audit(ctx context.Context, c *cli.Command) error {
	replies, err := ask[[]record.Change](ctx, c, http.MethodGet, "/v1/audit")
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{head: []string{"NODE", "AT", "KEY", "FROM", "TO", "DIGEST", "SOURCE", "VERDICT", "REASON"}}
	for _, r := range replies {
		if r.Error != "" {
			t.add(r.Node, "", "", "", "", "", "", "out of reach", r.Error)
		}
		for _, e := range r.Value {
			t.add(r.Node, e.At, e.Key, e.From, e.To, e.Digest, e.Source, e.Verdict, e.Reason)
		}
	}
	return show(c, replies, t)
}

// spread is the number of nodes that hold one revision of a document.
type spread struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Nodes    int    `json:"nodes"`
	Of       int    `json:"of"`
}

// rollout counts which nodes hold which revision of each document, or of one.
func rollout(ctx context.Context, c *cli.Command) error {
	replies, err := ask[[]depot.DocumentVersion](ctx, c, http.MethodGet, "/v1/records")
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
	var out []spread
	for h, n := range count {
		out = append(out, spread{Key: h.Key, Revision: h.Revision, Digest: h.Digest, Nodes: n, Of: len(replies)})
	}
	slices.SortFunc(out, func(a, b spread) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Digest, b.Digest))
	})
	t := &table{head: []string{"KEY", "REVISION", "DIGEST", "NODES"}}
	for _, s := range out {
		t.add(s.Key, s.Revision, s.Digest, fmt.Sprintf("%d of %d", s.Nodes, s.Of))
	}
	return show(c, out, t)
}
