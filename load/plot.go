package main

import (
	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// plot draws the goodput of each kind over time. The extension of path selects
// the file format, such as SVG or PNG.
func (r *Report) plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Experiment + ", policy " + r.Policy
	p.X.Label.Text = "time of arrival, s"
	p.Y.Label.Text = "good answers per second"
	p.Legend.Top = true
	var lines []any
	for _, name := range sortedKindNames(r.Stages[0].Kinds) {
		lines = append(lines, name, goodputPoints(r.Series[name]))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, path))
}

// goodputPoints converts counts of good answers by bucket to good answers per
// second over time in seconds.
func goodputPoints(series []int) plotter.XYs {
	out := make(plotter.XYs, len(series))
	for i, n := range series {
		out[i].X = float64(i) * bucketWidth.Seconds()
		out[i].Y = float64(n) / bucketWidth.Seconds()
	}
	return out
}
