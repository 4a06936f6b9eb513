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

// The ways in which requests end, as a plot shows them.
const (
	endedInTime  = "in time"
	endedLate    = "late"
	endedRefused = "refused"
	endedFailed  = "failed"
)

// timeline counts endings by second, kind and way. The zero value is empty.
type timeline struct {
	// counts holds, for the name of a line, the number in each second.
	counts map[string]map[int64]float64
}

// add counts an ending; a line that stands for several counts as many.
func (t *timeline) add(l *logLine) {
	if t.counts == nil {
		t.counts = make(map[string]map[int64]float64)
	}
	name := l.Fields["kind"] + " " + endingOf(l)
	if t.counts[name] == nil {
		t.counts[name] = make(map[int64]float64)
	}
	t.counts[name][l.Time.Unix()] += float64(max(1, l.intField("sample")))
}

// wayOf tells how a request ended.
func endingOf(l *logLine) string {
	switch {
	case l.Fields["outcome"] == outcomeNotRun:
		return endedRefused
	case severity(l) != 0:
		return endedFailed
	case l.intField("took_ms") > l.intField("target_ms"):
		return endedLate
	default:
		return endedInTime
	}
}

// span returns the first and the last second that holds an ending.
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

// points returns the number in each second of a span.
func points(seconds map[int64]float64, first, last int64) plotter.XYs {
	out := make(plotter.XYs, 0, last-first+1)
	for at := first; at <= last; at++ {
		out = append(out, plotter.XY{X: float64(at - first), Y: seconds[at]})
	}
	return out
}

// plot draws a line for each kind and way into a file, by the ending of its
// name.
func (t *timeline) plot(path string) error {
	if len(t.counts) == 0 {
		return trace.NotFound("these logs hold no answered request to draw")
	}
	first, last := t.span()
	p := plot.New()
	p.Title.Text = "requests by their ending, from " + time.Unix(first, 0).UTC().Format(time.RFC3339)
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests a second"
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
