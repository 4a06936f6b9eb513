package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// stepLength is the length of the intervals in which requests are counted.
	stepLength = 500 * time.Millisecond
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// report is the result of one seed.
type report struct {
	Seed     uint64    `json:"seed"`
	Findings []finding `json:"findings"`
	Schedule []event   `json:"schedule"`
	// Requests counts the requests by what their callers were told.
	Requests map[string]int `json:"requests"`
	// Sent and Answered are the requests and the good answers by the step in which
	// they were sent.
	Sent     []int `json:"sent"`
	Answered []int `json:"answered"`
}

func newReport(seed uint64, schedule []event, findings []finding, results []result) *report {
	r := &report{Seed: seed, Schedule: schedule, Findings: findings, Requests: make(map[string]int)}
	for _, q := range results {
		r.Requests[told(q)]++
		step := int(q.From / stepLength)
		if more := step + 1 - len(r.Sent); more > 0 {
			r.Sent = append(r.Sent, make([]int, more)...)
			r.Answered = append(r.Answered, make([]int, more)...)
		}
		r.Sent[step]++
		if q.Err == nil && q.Status == http.StatusOK {
			r.Answered[step]++
		}
	}
	return r
}

// told names what a caller was told.
func told(q result) string {
	switch {
	case q.Refused:
		return "no-connection"
	case q.Raced:
		return "closed-before-answer"
	case q.Err != nil:
		return "no-answer"
	case q.Outcome == "answered" && q.Status != http.StatusOK:
		return "answered-with-error"
	default:
		return q.Outcome
	}
}

// save writes the report and its plot to a folder.
func (r *report) save(dir string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o600); err != nil {
		return err
	}
	return r.plot(filepath.Join(dir, "report.svg"))
}

// plot draws requests and good answers over time, and a point for each fault.
func (r *report) plot(path string) error {
	p := plot.New()
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "per second"
	p.Legend.Top = true
	if err := plotutil.AddLines(p, "sent", points(r.Sent), "answered", points(r.Answered)); err != nil {
		return err
	}
	faults := make(plotter.XYs, len(r.Schedule))
	for i, e := range r.Schedule {
		faults[i].X = e.At.Seconds()
	}
	if len(faults) > 0 {
		if err := plotutil.AddScatters(p, "faults", faults); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

// points converts counts by step to rates per second over time in seconds.
func points(counts []int) plotter.XYs {
	out := make(plotter.XYs, len(counts))
	for i, n := range counts {
		out[i].X = float64(i) * stepLength.Seconds()
		out[i].Y = float64(n) / stepLength.Seconds()
	}
	return out
}

// rules returns the broken rules, each once and sorted.
func (r *report) rules() []string {
	var out []string
	for _, f := range r.Findings {
		out = append(out, f.Rule)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
