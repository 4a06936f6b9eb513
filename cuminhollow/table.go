package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// Formats of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is a report as text: a header and rows of cells, printed in aligned
// columns.
type table struct {
	header []string
	rows   [][]string
}

// addRow adds a row with the default format of each cell.
func (t *table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// printReport prints a report in the format of --output: value as JSON, or t.
func printReport(c *cli.Command, value any, t *table) error {
	out := c.Root().Writer
	switch format := c.String("output"); format {
	case outputJSON:
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return trace.Wrap(e.Encode(value))
	case outputTable:
		return trace.Wrap(t.write(out))
	default:
		return trace.BadParameter("output %q must be %q or %q", format, outputTable, outputJSON)
	}
}
