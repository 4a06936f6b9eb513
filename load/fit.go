package main

import (
	"fmt"
	"io"
	"math"
)

// linearFit is a straight line fitted to points by least squares.
type linearFit struct {
	intercept, slope float64
	// maxResidual is the largest vertical distance of a point from the line.
	maxResidual float64
}

// fitLine fits a line to points by least squares. The slope is 0 if all x are
// equal, as with a single point.
func fitLine(x, y []float64) linearFit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var l linearFit
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.intercept = (sy - l.slope*sx) / n
	for i := range x {
		l.maxResidual = max(l.maxResidual, math.Abs(y[i]-l.intercept-l.slope*x[i]))
	}
	return l
}

// tableRow is one row of the capacity tables.
type tableRow struct {
	label string
	value func(sample) float64
}

var tableRows = []tableRow{
	{"CPU at rest, % of a core", func(s sample) float64 { return 100 * s.idleCPU }},
	{"control sent at rest, bytes/s", func(s sample) float64 { return s.idleBytes }},
	{"control messages at rest, 1/s", func(s sample) float64 { return s.idleMessages }},
	{"heap and stacks, KB", func(s sample) float64 { return s.memory / 1000 }},
	{"platform reads of the fleet, 1/s", func(s sample) float64 { return s.platformReads }},
	{"bytes sent for a change", func(s sample) float64 { return s.changeBytes }},
	{"CPU for a change, ms", func(s sample) float64 { return s.changeCPU.Seconds() * 1000 }},
	{"change everywhere, ms", func(s sample) float64 { return s.maxPropagation.Seconds() * 1000 }},
}

// writeSampleTable prints a Markdown table with one column for each sample and
// the line fitted to each row. x returns the heading of a sample's column and
// its x value for the fit; name says what x counts.
func writeSampleTable(out io.Writer, name string, samples []sample, x func(sample) float64) {
	_, _ = fmt.Fprintf(out, "| per node, by %s |", name)
	for _, s := range samples {
		_, _ = fmt.Fprintf(out, " %.0f |", x(s))
	}
	_, _ = fmt.Fprint(out, " base | slope | largest residual |\n|---|")
	for range len(samples) + 3 {
		_, _ = fmt.Fprint(out, "---:|")
	}
	_, _ = fmt.Fprintln(out)
	for _, row := range tableRows {
		var xs, ys []float64
		_, _ = fmt.Fprintf(out, "| %s |", row.label)
		for _, s := range samples {
			xs = append(xs, x(s))
			ys = append(ys, row.value(s))
			_, _ = fmt.Fprintf(out, " %.3g |", row.value(s))
		}
		l := fitLine(xs, ys)
		_, _ = fmt.Fprintf(out, " %.3g | %.3g | %.2g |\n", l.intercept, l.slope, l.maxResidual)
	}
	_, _ = fmt.Fprintln(out)
}
