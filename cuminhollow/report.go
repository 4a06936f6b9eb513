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

// status prints the state of nodes.
func status(ctx context.Context, c *cli.Command) error {
	replies, err := queryNodes[depot.Status](ctx, c, http.MethodGet, "/v1/status")
	if err != nil {
		return trace.Wrap(err)
	}
	return printReport(c, replies, statusTable(replies))
}

// drain makes nodes stop accepting new work and prints their state.
func drain(ctx context.Context, c *cli.Command) error {
	token, err := readToken(c)
	if err != nil {
		return trace.Wrap(err)
	}
	replies, err := queryNodesAs[depot.Status](ctx, c, token, http.MethodPost, "/v1/drain")
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
			fmt.Sprintf("%.1fms", s.MeanMS), rejectedClasses(s), s.Records, s.Fleet)
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

// rejectedClasses describes the priority classes that a node rejects by naming the
// first of them.
func rejectedClasses(s depot.Status) string {
	if s.Refusing >= booking.NumClasses {
		return "nothing"
	}
	class := booking.Class(s.Refusing)
	if class.Protected() {
		return fmt.Sprintf("protected from rank %d", class.Rank())
	}
	return fmt.Sprintf("unprotected from rank %d", class.Rank())
}

// explain prints the record of a kind of work that is in force at each node.
func explain(ctx context.Context, c *cli.Command) error {
	kind := c.Args().First()
	if kind == "" {
		return trace.BadParameter("no kind of work given")
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

// audit prints the audit logs of nodes.
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

// revisionCount is the number of nodes that hold a revision of a document.
type revisionCount struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Nodes    int    `json:"nodes"`
	// Total is the number of nodes asked.
	Total int `json:"of"`
}

// rollout prints how many nodes hold each revision of every document, or of the
// document whose key is given.
func rollout(ctx context.Context, c *cli.Command) error {
	replies, err := queryNodes[[]depot.DocumentVersion](ctx, c, http.MethodGet, "/v1/records")
	if err != nil {
		return trace.Wrap(err)
	}
	counts := make(map[depot.DocumentVersion]int)
	for _, r := range replies {
		for _, v := range r.Value {
			if key := c.Args().First(); key == "" || key == v.Key {
				counts[v]++
			}
		}
	}
	var out []revisionCount
	for v, n := range counts {
		out = append(out, revisionCount{Key: v.Key, Revision: v.Revision, Digest: v.Digest, Nodes: n, Total: len(replies)})
	}
	slices.SortFunc(out, func(a, b revisionCount) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Revision, a.Revision), cmp.Compare(a.Digest, b.Digest))
	})
	t := &table{header: []string{"KEY", "REVISION", "DIGEST", "NODES"}}
	for _, rc := range out {
		t.addRow(rc.Key, rc.Revision, rc.Digest, fmt.Sprintf("%d of %d", rc.Nodes, rc.Total))
	}
	return printReport(c, out, t)
}
