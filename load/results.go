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
	outcomeMixedUp outcome = "mixed-up"
)

const (
	// bucketSpan is the resolution of results over time.
	bucketWidth = 200 * time.Millisecond
	// latencyMax is the longest time that histograms hold, in microseconds.
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
)

// results counts what became of requests. It is safe for concurrent use.
type results struct {
	mu sync.Mutex
	// series holds, for each kind, the good answers in each span of arrivals.
	goodSeries map[string][]int
	// stages holds the counts of each kind in each stage.
	stageCounts []map[string]*outcomeCounts
	// refusals holds the times to a refusal, in microseconds.
	refusalLatency *hdrhistogram.Histogram
	// good holds the times to a good answer by kind, in microseconds.
	goodLatency map[string]*hdrhistogram.Histogram
	experiment  *Experiment
}

// counts is what became of the requests of one kind in one stage.
type outcomeCounts struct {
	Offered  int             `json:"offered"`
	Sent     int             `json:"sent"`
	Outcomes map[outcome]int `json:"outcomes"`
}

func newResults(e *Experiment) *results {
	r := &results{
		goodSeries:     make(map[string][]int),
		refusalLatency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
		goodLatency:    make(map[string]*hdrhistogram.Histogram),
		experiment:     e,
	}
	buckets := int(e.length()/bucketWidth) + 1
	for range e.Stages {
		r.stageCounts = append(r.stageCounts, make(map[string]*outcomeCounts))
	}
	for _, k := range e.Kinds {
		if k.Rate == 0 {
			continue
		}
		r.goodSeries[k.Name] = make([]int, buckets)
		r.goodLatency[k.Name] = hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
		for _, s := range r.stageCounts {
			s[k.Name] = &outcomeCounts{Outcomes: make(map[outcome]int)}
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
func (r *results) observe(a arrival, o outcome, sinceArrival, attemptTime time.Duration, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.stageCounts[r.stageAt(a.at)][a.kind.Name]
	c.Sent++
	if o == outcomeNotRun {
		_ = r.refusalLatency.RecordValue(attemptTime.Microseconds())
	}
	if !final {
		return
	}
	c.Offered++
	c.Outcomes[o]++
	if o == outcomeGood {
		r.goodSeries[a.kind.Name][int(a.at/bucketWidth)]++
		_ = r.goodLatency[a.kind.Name].RecordValue(sinceArrival.Microseconds())
	}
}

// total returns the number of good answers so far.
func (r *results) outcomeTotal(o outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.stageCounts {
		for _, c := range s {
			n += c.Outcomes[o]
		}
	}
	return n
}
