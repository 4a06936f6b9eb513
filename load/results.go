package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the result of a request as its caller sees it. The values are
// keys in reports.
type outcome string

const (
	// outcomeGood is a correct answer within the target time.
	outcomeGood outcome = "good"
	// outcomeLate is a correct answer after the target time.
	outcomeLate outcome = "late"
	// outcomeNotRun is a refusal: the request certainly did not run.
	outcomeNotRun outcome = "not-run"
	// outcomeUnknown is a call without an answer: the request may have run.
	outcomeUnknown outcome = "unknown"
	// outcomeError is an answer with a status other than 200.
	outcomeError outcome = "error"
	// outcomeMixedUp is an answer to another request.
	outcomeMixedUp outcome = "mixed-up"
)

const (
	// bucketWidth is the resolution of time series.
	bucketWidth = 200 * time.Millisecond
	// maxLatencyMicros is the longest latency that histograms hold, in
	// microseconds.
	maxLatencyMicros = 60_000_000
	// latencySignificantDigits is the precision of histograms, in significant
	// decimal digits.
	latencySignificantDigits = 3
)

// results counts the outcomes of requests. It is safe for concurrent use.
type results struct {
	mu sync.Mutex
	// goodSeries holds the number of good answers for each kind, in buckets by
	// planned arrival time.
	goodSeries map[string][]int
	// stageCounts holds the counts of each stage by kind.
	stageCounts []map[string]*outcomeCounts
	// refusalLatency holds the time from sending an attempt to its refusal, in
	// microseconds.
	refusalLatency *hdrhistogram.Histogram
	// goodLatency holds the time from the planned arrival to a good answer by
	// kind, in microseconds.
	goodLatency map[string]*hdrhistogram.Histogram
	experiment  *Experiment
}

// outcomeCounts counts the requests of one kind in one stage.
type outcomeCounts struct {
	// Offered is the number of requests that finished.
	Offered int `json:"offered"`
	// Sent is the number of attempts, including resent ones.
	Sent int `json:"sent"`
	// Outcomes is the number of requests by the outcome of their last attempt.
	Outcomes map[outcome]int `json:"outcomes"`
}

// newResults returns empty results. Kinds with rate 0 are left out because only
// upstreams call them.
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

// stageAt returns the index of the stage at an offset from the start of the
// experiment, or of the last stage if the offset is past the end.
func (r *results) stageAt(at time.Duration) int {
	for i, s := range r.experiment.Stages {
		if at < s.Length {
			return i
		}
		at -= s.Length
	}
	return len(r.experiment.Stages) - 1
}

// observe records one attempt of a request. sinceArrival is the time since the
// planned arrival, attemptTime the duration of the attempt. Only the final
// attempt counts towards the outcome of the request.
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

// outcomeTotal returns the number of requests with outcome o so far.
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
