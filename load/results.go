package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is what became of a request as its caller sees it.
type outcome string

const (
	// outcomeGood is a whole answer within the target time.
	outcomeGood outcome = "good"
	// outcomeLate is a whole answer after the target time.
	outcomeLate    outcome = "late"
	outcomeNotRun  outcome = "not-run"
	outcomeUnknown outcome = "unknown"
	// outcomeError is an answer that reports an error, or none at all.
	outcomeError outcome = "error"
	// outcomeMixed is an answer to another request.
	outcomeMixed outcome = "mixed-up"
)

const (
	// bucketSpan is the resolution of results over time.
	bucketSpan = 200 * time.Millisecond
	// latencyMax is the longest time that histograms hold, in microseconds.
	latencyMax    = 60_000_000
	latencyDigits = 3
)

// results counts what became of requests. It is safe for concurrent use.
type results struct {
	mu sync.Mutex
	// series holds, for each kind, the good answers in each span of arrivals.
	series map[string][]int
	// stages holds the counts of each kind in each stage.
	stages []map[string]*counts
	// refusals holds the times to a refusal, in microseconds.
	refusals *hdrhistogram.Histogram
	// good holds the times to a good answer by kind, in microseconds.
	good       map[string]*hdrhistogram.Histogram
	experiment *Experiment
}

// counts is what became of the requests of one kind in one stage.
type counts struct {
	Offered  int             `json:"offered"`
	Sent     int             `json:"sent"`
	Outcomes map[outcome]int `json:"outcomes"`
}

func newResults(e *Experiment) *results {
	r := &results{
		series:     make(map[string][]int),
		refusals:   hdrhistogram.New(1, latencyMax, latencyDigits),
		good:       make(map[string]*hdrhistogram.Histogram),
		experiment: e,
	}
	buckets := int(e.length()/bucketSpan) + 1
	for range e.Stages {
		r.stages = append(r.stages, make(map[string]*counts))
	}
	for _, k := range e.Kinds {
		if k.Rate == 0 {
			continue
		}
		r.series[k.Name] = make([]int, buckets)
		r.good[k.Name] = hdrhistogram.New(1, latencyMax, latencyDigits)
		for _, s := range r.stages {
			s[k.Name] = &counts{Outcomes: make(map[outcome]int)}
		}
	}
	return r
}

// stageAt returns the stage in which a time lies.
func (r *results) stageAt(at time.Duration) int {
	for i, s := range r.experiment.Stages {
		if at < s.Length {
			return i
		}
		at -= s.Length
	}
	return len(r.experiment.Stages) - 1
}

// note counts one try of a request: since is the time since its arrival, took
// the time of the try itself.
func (r *results) note(a arrival, o outcome, since, took time.Duration, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.stages[r.stageAt(a.at)][a.kind.Name]
	c.Sent++
	if o == outcomeNotRun {
		_ = r.refusals.RecordValue(took.Microseconds())
	}
	if !final {
		return
	}
	c.Offered++
	c.Outcomes[o]++
	if o == outcomeGood {
		r.series[a.kind.Name][int(a.at/bucketSpan)]++
		_ = r.good[a.kind.Name].RecordValue(since.Microseconds())
	}
}

// total returns the number of good answers so far.
func (r *results) total(o outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.stages {
		for _, c := range s {
			n += c.Outcomes[o]
		}
	}
	return n
}
