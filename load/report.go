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
	// recoveredShare is the share of the goodput of the first stage at which
	// goodput counts as recovered.
	recoveredShare = 0.95
	// recoveredBuckets is the number of consecutive buckets whose mean goodput
	// must have recovered.
	recoveredBuckets = 5
	// latencyPercentile is the percentile of latencies in reports.
	latencyPercentile = 99
)

// Report is the result of one experiment under one policy.
type Report struct {
	Experiment string        `json:"experiment"`
	Policy     string        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Stages     []StageReport `json:"stages"`
	// RecoveryMS is the time from the end of the last disturbed stage until
	// goodput recovered, in milliseconds. It is -1 if goodput did not recover,
	// and 0 if no stage is disturbed or the last one is.
	RecoveryMS int64 `json:"recovery_ms"`
	// RefusalP99MS is the 99th percentile of the time from sending an attempt
	// to its refusal, in milliseconds.
	RefusalP99MS float64 `json:"refusal_p99_ms"`
	// GoodP99MS is the 99th percentile of the time from the planned arrival to
	// a good answer by kind, in milliseconds.
	GoodP99MS map[string]float64 `json:"good_p99_ms"`
	// Runs is the number of runs on upstreams.
	Runs int `json:"runs"`
	// WastedShare is the share of runs that did not contribute to a good
	// answer.
	WastedShare float64 `json:"wasted"`
	// TriesPerRequest is the number of attempts sent by clients per request
	// offered.
	TriesPerRequest float64 `json:"tries_per_request"`
	// Duplicated is the number of non-idempotent requests that ran more than
	// once. It is 0 if clients resend, because resending may run a request
	// again.
	Duplicated int `json:"doubled"`
	// MixedUp is the number of answers that belonged to another request.
	MixedUp int `json:"mixed_up"`
	// CPUMicrosPerRun is the processor time of all nodes per run on an
	// upstream, in microseconds.
	CPUMicrosPerRun float64 `json:"node_cpu_us_per_run"`
	// IdleMB and LoadMB are the resident memory of the largest node before and
	// after the load, in megabytes (1e6 bytes).
	IdleMB float64 `json:"idle_mb"`
	LoadMB float64 `json:"load_mb"`
	// Series holds the number of good answers by kind, in buckets of
	// bucketWidth.
	Series map[string][]int `json:"series"`
}

// StageReport is the result of one stage.
type StageReport struct {
	Name string `json:"name"`
	// ShareOfIdeal is the goodput as a share of the ideal goodput, which is
	// limited by capacity and by the requests offered.
	ShareOfIdeal float64                   `json:"share_of_ideal"`
	Kinds        map[string]*outcomeCounts `json:"kinds"`
	// IdealRate is the ideal goodput by kind, in requests per second.
	IdealRate map[string]float64 `json:"ideal_rate"`
}

// newReport builds a report from the results and from the runs that the
// upstreams of f logged.
func newReport(e *Experiment, policy string, r *results, f *fleet.Fleet) *Report {
	report := &Report{
		Experiment:   e.Name,
		Policy:       policy,
		Seed:         e.Seed,
		RefusalP99MS: float64(r.refusalLatency.ValueAtQuantile(latencyPercentile)) / 1000,
		GoodP99MS:    make(map[string]float64),
		Series:       r.goodSeries,
		MixedUp:      r.outcomeTotal(outcomeMixedUp),
	}
	sent, offered, usefulRuns := 0, 0, 0
	for i, s := range e.Stages {
		report.Stages = append(report.Stages, newStageReport(e, s, r.stageCounts[i]))
		for name, c := range r.stageCounts[i] {
			sent += c.Sent
			offered += c.Offered
			cost, _ := e.costOf(name, s)
			usefulRuns += c.Outcomes[outcomeGood] * cost.runs
		}
	}
	for name, h := range r.goodLatency {
		report.GoodP99MS[name] = float64(h.ValueAtQuantile(latencyPercentile)) / 1000
	}
	report.TriesPerRequest = float64(sent) / float64(max(offered, 1))
	for _, k := range e.Kinds {
		for _, n := range f.Runs(k.Name) {
			report.Runs += n
			if !k.Idempotent && n > 1 && e.Resend == 0 {
				report.Duplicated++
			}
		}
	}
	report.WastedShare = 1 - float64(usefulRuns)/float64(max(report.Runs, 1))
	report.RecoveryMS = recoveryMS(e, r)
	return report
}

// megabyte is the unit of memory in reports.
const megabyte = 1e6

// setNodeUsage sets memory and processor time from the usage of the nodes
// before and after the load. r.Runs must be set before the call.
func (r *Report) setNodeUsage(before, after fleet.Usage) {
	r.IdleMB = float64(before.ResidentBytes) / megabyte
	r.LoadMB = float64(after.ResidentBytes) / megabyte
	r.CPUMicrosPerRun = float64((after.CPU - before.CPU).Microseconds()) / float64(max(r.Runs, 1))
}

// newStageReport compares the counts of a stage with its ideal goodput.
func newStageReport(e *Experiment, s Stage, kinds map[string]*outcomeCounts) StageReport {
	report := StageReport{Name: s.Name, Kinds: kinds, IdealRate: e.idealGoodput(s)}
	var good, ideal float64
	for name, c := range kinds {
		// Requests that did not arrive cannot be answered, so the ideal is at
		// most the number offered.
		possible := min(report.IdealRate[name]*s.Length.Seconds(), float64(c.Offered))
		ideal += possible
		good += min(float64(c.Outcomes[outcomeGood]), possible)
	}
	if ideal > 0 {
		report.ShareOfIdeal = good / ideal
	}
	return report
}

// recoveryMS returns the value of Report.RecoveryMS. The baseline is the mean
// goodput of the first stage.
func recoveryMS(e *Experiment, r *results) int64 {
	lastDisturbed, disturbanceEnd := -1, time.Duration(0)
	stageEnd := time.Duration(0)
	for i, s := range e.Stages {
		stageEnd += s.Length
		if s.disturbed() {
			lastDisturbed, disturbanceEnd = i, stageEnd
		}
	}
	if lastDisturbed < 0 || lastDisturbed == len(e.Stages)-1 {
		return 0
	}
	baselineBuckets := int(e.Stages[0].Length / bucketWidth)
	good := r.goodPerBucket()
	baselineTotal := 0
	for _, n := range good[:baselineBuckets] {
		baselineTotal += n
	}
	baselineMean := float64(baselineTotal) / float64(max(baselineBuckets, 1))
	start := int(disturbanceEnd / bucketWidth)
	for i := start; i+recoveredBuckets <= len(good); i++ {
		sum := 0
		for _, n := range good[i : i+recoveredBuckets] {
			sum += n
		}
		if float64(sum) >= recoveredShare*baselineMean*recoveredBuckets {
			return int64(i-start) * bucketWidth.Milliseconds()
		}
	}
	return -1
}

// goodPerBucket returns the number of good answers of all kinds in each bucket.
func (r *results) goodPerBucket() []int {
	var out []int
	for _, series := range r.goodSeries {
		if out == nil {
			out = make([]int, len(series))
		}
		for i, n := range series {
			out[i] += n
		}
	}
	return out
}

// disturbed reports whether the stage has a fault or raises the load.
func (s Stage) disturbed() bool {
	return s.Factor > 1 || len(s.Slow)+len(s.Kill)+len(s.Fail)+len(s.Pause)+len(s.Cut) > 0
}

// write prints the report as text.
func (r *Report) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "experiment %s, policy %s, seed %d\n", r.Experiment, r.Policy, r.Seed)
	_, _ = fmt.Fprintln(w, "stage\tkind\toffered\tgood\tlate\tnot-run\tunknown\terror\tshare of ideal\t")
	for _, s := range r.Stages {
		for _, name := range sortedKindNames(s.Kinds) {
			c := s.Kinds[name]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\t\n", s.Name, name, c.Offered,
				c.Outcomes[outcomeGood], c.Outcomes[outcomeLate], c.Outcomes[outcomeNotRun],
				c.Outcomes[outcomeUnknown], c.Outcomes[outcomeError])
		}
		_, _ = fmt.Fprintf(w, "%s\tall\t\t\t\t\t\t\t%.1f%%\t\n", s.Name, 100*s.ShareOfIdeal)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	_, _ = fmt.Fprintf(out, "nodes: %.0f µs of CPU for each run, resident %.1f MB before and %.1f MB after the load\n",
		r.CPUMicrosPerRun, r.IdleMB, r.LoadMB)
	_, err := fmt.Fprintf(out, "recovery %d ms, refusals p99 %.1f ms, runs %d, wasted %.1f%%, sent per request %.2f, doubled %d, mixed up %d\n",
		r.RecoveryMS, r.RefusalP99MS, r.Runs, 100*r.WastedShare, r.TriesPerRequest, r.Duplicated, r.MixedUp)
	return trace.Wrap(err)
}

func sortedKindNames(kinds map[string]*outcomeCounts) []string {
	var out []string
	for name := range kinds {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// save writes the report to a JSON file.
func (r *Report) save(path string) error {
	body, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, body, 0o644))
}

// loadReport reads a report that save wrote.
func loadReport(path string) (*Report, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, trace.BadParameter("decode report %s: %v", path, err)
	}
	return &r, nil
}

// writeComparison prints reports of the same experiment in a table with one
// column for each. The stages are those of the first report.
func writeComparison(out io.Writer, reports []*Report) error {
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
			return fmt.Sprintf("%.1f%%", 100*r.Stages[i].ShareOfIdeal)
		})
	}
	row("recovery ms", func(r *Report) string { return fmt.Sprint(r.RecoveryMS) })
	row("refusals p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.RefusalP99MS) })
	row("runs", func(r *Report) string { return fmt.Sprint(r.Runs) })
	row("wasted", func(r *Report) string { return fmt.Sprintf("%.1f%%", 100*r.WastedShare) })
	row("sent per request", func(r *Report) string { return fmt.Sprintf("%.2f", r.TriesPerRequest) })
	row("doubled", func(r *Report) string { return fmt.Sprint(r.Duplicated) })
	return trace.Wrap(w.Flush())
}

func compareByPolicy(a, b *Report) int { return cmp.Compare(a.Policy, b.Policy) }
