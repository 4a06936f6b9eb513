package main

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Results of requests, as the legend of a plot names them.
const (
	resultInTime  = "in time"
	resultLate    = "late"
	resultRefused = "refused"
	resultFailed  = "failed"
)

// timeline counts ended requests by second, kind and result. The zero value is
// empty.
type timeline struct {
	// counts maps a kind and result, as the name of a plotted line, to the
	// number of requests in each second of Unix time.
	counts map[string]map[int64]float64
}

// add counts the request of a line. A sampled line counts as the number of
// requests that it stands for.
func (t *timeline) add(l *logLine) {
	if t.counts == nil {
		t.counts = make(map[string]map[int64]float64)
	}
	name := l.Fields["kind"] + " " + resultOf(l)
	if t.counts[name] == nil {
		t.counts[name] = make(map[int64]float64)
	}
	t.counts[name][l.Time.Unix()] += float64(max(1, l.intField("sample")))
}

// resultOf returns the result of the request of a line.
func resultOf(l *logLine) string {
	switch {
	case l.Fields["outcome"] == outcomeNotRun:
		return resultRefused
	case severity(l) != 0:
		return resultFailed
	case l.intField("took_ms") > l.intField("target_ms"):
		return resultLate
	default:
		return resultInTime
	}
}

// span returns the first and the last second in which a request ended.
func (t *timeline) span() (first, last int64) {
	for _, seconds := range t.counts {
		keys := slices.Sorted(maps.Keys(seconds))
		if first == 0 || keys[0] < first {
			first = keys[0]
		}
		last = max(last, keys[len(keys)-1])
	}
	return first, last
}

// points returns the number of requests in each second from first to last.
func points(seconds map[int64]float64, first, last int64) plotter.XYs {
	out := make(plotter.XYs, 0, last-first+1)
	for at := first; at <= last; at++ {
		out = append(out, plotter.XY{X: float64(at - first), Y: seconds[at]})
	}
	return out
}

// plot draws a line for each kind and result into a file, in the format of the
// file name's extension.
func (t *timeline) plot(path string) error {
	if len(t.counts) == 0 {
		return trace.NotFound("the logs contain no ended request to plot")
	}
	first, last := t.span()
	p := plot.New()
	p.Title.Text = "requests by result, from " + time.Unix(first, 0).UTC().Format(time.RFC3339)
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests per second"
	p.Legend.Top = true
	var lines []any
	for _, name := range slices.Sorted(maps.Keys(t.counts)) {
		lines = append(lines, name, points(t.counts[name], first, last))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, path))
}
