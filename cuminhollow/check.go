package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"cuminhollow.example/depot"
	"cuminhollow.example/record"
)

// check validates record and roster files and reports the errors in all of
// them.
func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return trace.BadParameter("no file given")
	}
	var faults []string
	for _, file := range c.Args().Slice() {
		d, err := loadDocument(file)
		if err != nil {
			faults = append(faults, err.Error())
			continue
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: %s revision %d is valid\n", file, d.Key(), d.Revision()); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(faults) > 0 {
		return trace.BadParameter("%s", strings.Join(faults, "\n"))
	}
	return nil
}

// loadDocument parses a record or roster file. The key of the document is the
// file name without extension, prefixed with record.RosterPrefix if the folder
// of the file has that name, and with record.PolicyPrefix otherwise.
func loadDocument(file string) (*record.Document, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	prefix := record.PolicyPrefix
	if filepath.Base(filepath.Dir(file)) == strings.TrimSuffix(record.RosterPrefix, "/") {
		prefix = record.RosterPrefix
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	d, err := record.Parse(prefix+name, body)
	var fault *record.Error
	if errors.As(err, &fault) {
		fault.Name = file
	}
	return d, err
}

// diff prints the fields in which a record file differs from the record in
// force at each node, with a warning if the file would not replace that record.
func diff(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return trace.BadParameter("diff takes exactly one record file")
	}
	d, err := loadDocument(c.Args().First())
	if err != nil {
		return trace.Wrap(err)
	}
	replies, err := queryNodes[depot.Explanation](ctx, c, http.MethodGet, "/v1/explain?kind="+strings.TrimPrefix(d.Key(), record.PolicyPrefix))
	if err != nil {
		return trace.Wrap(err)
	}
	p, ok := d.Content().(*record.Policy)
	if !ok {
		return trace.BadParameter("%s is not a record of a kind of work", c.Args().First())
	}
	t := table{header: []string{"NODE", "FIELD", "IN FORCE", "NEW"}}
	for _, r := range replies {
		addDifferences(&t, r, d, p)
	}
	return printReport(c, replies, &t)
}

// addDifferences adds a row to t for each field in which policy p of document d
// differs from the record in force at one node.
func addDifferences(t *table, r reply[depot.Explanation], d *record.Document, p *record.Policy) {
	if r.Error != "" {
		t.addRow(r.Node, "error", r.Error, "")
		return
	}
	e := r.Value
	for _, f := range []struct {
		name              string
		inForce, proposed any
	}{
		{"revision", e.Revision, d.Revision()},
		{"schema", e.Schema, p.Schema()},
		{"service", e.Service, p.Service()},
		{"rank", e.Rank, p.Rank()},
		{"target_ms", e.TargetMS, int64(p.Target())},
		{"tries", e.Tries, p.Tries()},
		{"idempotent", e.Idempotent, p.Idempotent()},
		{"protected", e.Protected, p.Protected()},
		{"retired", e.Retired, p.Retired()},
	} {
		if fmt.Sprint(f.inForce) != fmt.Sprint(f.proposed) {
			t.addRow(r.Node, f.name, f.inForce, f.proposed)
		}
	}
	if e.Found && d.Revision() <= e.Revision && d.Digest().String() != e.Digest {
		t.addRow(r.Node, "warning", "the revision is not higher", "it would not replace the record in force")
	}
}
