package main

import (
	"fmt"
	"io"
	"math"
)

// line is a straight line fitted to points by least squares.
type line struct {
	base, slope float64
	// residual is the largest distance of a point from the line.
	residual float64
}

// fit returns the line through points; a single point gives a level line.
func fit(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var l line
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.base = (sy - l.slope*sx) / n
	for i := range x {
		l.residual = max(l.residual, math.Abs(y[i]-l.base-l.slope*x[i]))
	}
	return l
}

// figure is one column of the tables.
type figure struct {
	name  string
	value func(sample) float64
}

var figures = []figure{
	{"CPU at rest, % of a core", func(s sample) float64 { return 100 * s.cpu }},
	{"control sent at rest, bytes/s", func(s sample) float64 { return s.bytes }},
	{"control messages at rest, 1/s", func(s sample) float64 { return s.messages }},
	{"heap and stacks, KB", func(s sample) float64 { return s.heap / 1000 }},
	{"platform reads of the fleet, 1/s", func(s sample) float64 { return s.reads }},
	{"bytes sent for a change", func(s sample) float64 { return s.changeBytes }},
	{"CPU for a change, ms", func(s sample) float64 { return s.changeCPU.Seconds() * 1000 }},
	{"change everywhere, ms", func(s sample) float64 { return s.everywhere.Seconds() * 1000 }},
}

// writeSamples prints a table in Markdown with one column a sample, and the
// line fitted to each row.
func writeSamples(out io.Writer, name string, samples []sample, x func(sample) float64) {
	_, _ = fmt.Fprintf(out, "| per node, by %s |", name)
	for _, s := range samples {
		_, _ = fmt.Fprintf(out, " %.0f |", x(s))
	}
	_, _ = fmt.Fprint(out, " base | slope | largest residual |\n|---|")
	for range len(samples) + 3 {
		_, _ = fmt.Fprint(out, "---:|")
	}
	_, _ = fmt.Fprintln(out)
	for _, f := range figures {
		var xs, ys []float64
		_, _ = fmt.Fprintf(out, "| %s |", f.name)
		for _, s := range samples {
			xs = append(xs, x(s))
			ys = append(ys, f.value(s))
			_, _ = fmt.Fprintf(out, " %.3g |", f.value(s))
		}
		l := fit(xs, ys)
		_, _ = fmt.Fprintf(out, " %.3g | %.3g | %.2g |\n", l.base, l.slope, l.residual)
	}
	_, _ = fmt.Fprintln(out)
}
