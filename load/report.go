package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"cuminhollow.example/standin/fleet"
)

const (
	// recovered is the share of the baseline's goodput that counts as
	// recovered.
	recovered = 0.95
	// steady is the number of spans in a row that must be recovered.
	steady = 5
	// percentile is the one that reports give for latencies.
	percentile = 99
)

// Report is the result of one experiment under one policy.
type Report struct {
	Experiment string        `json:"experiment"`
	Policy     string        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Stages     []StageReport `json:"stages"`
	// RecoveryMS is the time from the end of the last disturbed stage until
	// goodput is back, in milliseconds; negative when it was not.
	RecoveryMS int64 `json:"recovery_ms"`
	// RefusalP99MS is the 99th percentile of the time to a refusal.
	RefusalP99MS float64 `json:"refusal_p99_ms"`
	// GoodP99MS is the 99th percentile of the time to a good answer by kind.
	GoodP99MS map[string]float64 `json:"good_p99_ms"`
	// Runs is the number of runs on upstreams; Wasted the share of them that
	// belongs to no good answer.
	Runs   int     `json:"runs"`
	Wasted float64 `json:"wasted"`
	// TriesPerRequest is the number of requests sent by clients for each
	// request offered.
	TriesPerRequest float64 `json:"tries_per_request"`
	// Doubled is the number of pieces of non-idempotent work that ran twice.
	Doubled int `json:"doubled"`
	// Mixed is the number of answers to another request.
	Mixed int `json:"mixed_up"`
	// RunCPU is the processor time of all nodes for each run on an upstream,
	// in microseconds.
	RunCPU float64 `json:"node_cpu_us_per_run"`
	// IdleMB and LoadMB are the resident memory of the largest node before and
	// after the load, in megabytes.
	IdleMB float64 `json:"idle_mb"`
	LoadMB float64 `json:"load_mb"`
	// Series holds the good answers in each span of time by kind.
	Series map[string][]int `json:"series"`
}

// StageReport is the result of one stage.
type StageReport struct {
	Name string `json:"name"`
	// Share is the goodput as a share of the ideal.
	Share float64            `json:"share_of_ideal"`
	Kinds map[string]*counts `json:"kinds"`
	// IdealRate is the ideal goodput by kind, in requests a second.
	IdealRate map[string]float64 `json:"ideal_rate"`
}

func newReport(e *Experiment, policy string, r *results, f *fleet.Fleet) *Report {
	out := &Report{
		Experiment:   e.Name,
		Policy:       policy,
		Seed:         e.Seed,
		RefusalP99MS: float64(r.refusals.ValueAtQuantile(percentile)) / 1000,
		GoodP99MS:    make(map[string]float64),
		Series:       r.series,
		Mixed:        r.total(outcomeMixed),
	}
	sent, offered, useful := 0, 0, 0
	for i, s := range e.Stages {
		out.Stages = append(out.Stages, stageReport(e, s, r.stages[i]))
		for name, c := range r.stages[i] {
			sent += c.Sent
			offered += c.Offered
			u, _ := e.usageOf(name, s)
			useful += c.Outcomes[outcomeGood] * u.runs
		}
	}
	for name, h := range r.good {
		out.GoodP99MS[name] = float64(h.ValueAtQuantile(percentile)) / 1000
	}
	out.TriesPerRequest = float64(sent) / float64(max(offered, 1))
	for _, k := range e.Kinds {
		for _, n := range f.Runs(k.Name) {
			out.Runs += n
			if !k.Idempotent && n > 1 && e.Resend == 0 {
				out.Doubled++
			}
		}
	}
	out.Wasted = 1 - float64(useful)/float64(max(out.Runs, 1))
	out.RecoveryMS = recovery(e, r)
	return out
}

// megabyte is the unit of memory in reports, in bytes.
const megabyte = 1e6

// noteUsage compares what the nodes had used before the load and after it.
func (r *Report) noteUsage(before, after fleet.Usage) {
	r.IdleMB = float64(before.ResidentBytes) / megabyte
	r.LoadMB = float64(after.ResidentBytes) / megabyte
	r.RunCPU = float64((after.CPU - before.CPU).Microseconds()) / float64(max(r.Runs, 1))
}

func stageReport(e *Experiment, s Stage, kinds map[string]*counts) StageReport {
	out := StageReport{Name: s.Name, Kinds: kinds, IdealRate: e.ideal(s)}
	var got, want float64
	for name, c := range kinds {
		// What did not arrive cannot be answered.
		possible := min(out.IdealRate[name]*s.Length.Seconds(), float64(c.Offered))
		want += possible
		got += min(float64(c.Outcomes[outcomeGood]), possible)
	}
	if want > 0 {
		out.Share = got / want
	}
	return out
}

// recovery compares the spans after the last disturbed stage with the mean of
// the first stage.
func recovery(e *Experiment, r *results) int64 {
	last, end := -1, time.Duration(0)
	at := time.Duration(0)
	for i, s := range e.Stages {
		at += s.Length
		if s.disturbed() {
			last, end = i, at
		}
	}
	if last < 0 || last == len(e.Stages)-1 {
		return 0
	}
	first := int(e.Stages[0].Length / bucketSpan)
	total := r.totals()
	baseline := 0
	for _, n := range total[:first] {
		baseline += n
	}
	mean := float64(baseline) / float64(max(first, 1))
	start := int(end / bucketSpan)
	for i := start; i+steady <= len(total); i++ {
		sum := 0
		for _, n := range total[i : i+steady] {
			sum += n
		}
		if float64(sum) >= recovered*mean*steady {
			return int64(i-start) * bucketSpan.Milliseconds()
		}
	}
	return -1
}

// totals adds up the good answers of all kinds in each span.
func (r *results) totals() []int {
	var out []int
	for _, series := range r.series {
		if out == nil {
			out = make([]int, len(series))
		}
		for i, n := range series {
			out[i] += n
		}
	}
	return out
}

func (s Stage) disturbed() bool {
	return s.Factor > 1 || len(s.Slow)+len(s.Kill)+len(s.Fail)+len(s.Pause)+len(s.Cut) > 0
}

func (r *Report) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "experiment %s, policy %s, seed %d\n", r.Experiment, r.Policy, r.Seed)
	_, _ = fmt.Fprintln(w, "stage\tkind\toffered\tgood\tlate\tnot-run\tunknown\terror\tshare of ideal\t")
	for _, s := range r.Stages {
		for _, name := range sortedKinds(s.Kinds) {
			c := s.Kinds[name]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\t\n", s.Name, name, c.Offered,
				c.Outcomes[outcomeGood], c.Outcomes[outcomeLate], c.Outcomes[outcomeNotRun],
				c.Outcomes[outcomeUnknown], c.Outcomes[outcomeError])
		}
		_, _ = fmt.Fprintf(w, "%s\tall\t\t\t\t\t\t\t%.1f%%\t\n", s.Name, 100*s.Share)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	_, _ = fmt.Fprintf(out, "nodes: %.0f µs of CPU for each run, resident %.1f MB before and %.1f MB after the load\n",
		r.RunCPU, r.IdleMB, r.LoadMB)
	_, err := fmt.Fprintf(out, "recovery %d ms, refusals p99 %.1f ms, runs %d, wasted %.1f%%, sent per request %.2f, doubled %d, mixed up %d\n",
		r.RecoveryMS, r.RefusalP99MS, r.Runs, 100*r.Wasted, r.TriesPerRequest, r.Doubled, r.Mixed)
	return trace.Wrap(err)
}

func sortedKinds(kinds map[string]*counts) []string {
	var out []string
	for name := range kinds {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (r *Report) save(path string) error {
	body, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, body, 0o644))
}

func loadReport(path string) (*Report, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return &r, nil
}

// writeSideBySide compares reports of the same experiment.
func writeSideBySide(out io.Writer, reports []*Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, cell func(*Report) string) {
		_, _ = fmt.Fprintf(w, "%s\t", name)
		for _, r := range reports {
			_, _ = fmt.Fprintf(w, "%s\t", cell(r))
		}
		_, _ = fmt.Fprintln(w)
	}
	row("", func(r *Report) string { return r.Policy })
	for i, s := range reports[0].Stages {
		row(s.Name+" share of ideal", func(r *Report) string {
			if i >= len(r.Stages) {
				return ""
			}
			return fmt.Sprintf("%.1f%%", 100*r.Stages[i].Share)
		})
	}
	row("recovery ms", func(r *Report) string { return fmt.Sprint(r.RecoveryMS) })
	row("refusals p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.RefusalP99MS) })
	row("runs", func(r *Report) string { return fmt.Sprint(r.Runs) })
	row("wasted", func(r *Report) string { return fmt.Sprintf("%.1f%%", 100*r.Wasted) })
	row("sent per request", func(r *Report) string { return fmt.Sprintf("%.2f", r.TriesPerRequest) })
	row("doubled", func(r *Report) string { return fmt.Sprint(r.Doubled) })
	return trace.Wrap(w.Flush())
}

func byPolicy(a, b *Report) int { return cmp.Compare(a.Policy, b.Policy) }
