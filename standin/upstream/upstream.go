package main

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"cuminhollow.example/clock"
)

// The headers that the upstream reads or sets.
const (
	headerRun     = "Cuminhollow-Run"
	headerKind    = "Cuminhollow-Kind"
	headerOutcome = "Cuminhollow-Outcome"
	// headerWork identifies a piece of work. Tests and the load tool set it to
	// check that the work ran at most once.
	headerWork = "X-Work"
)

// maxServiceTime is the largest mean run time that a test can set.
const maxServiceTime = time.Minute

// upstream simulates one VM of a service.
type upstream struct {
	node        string
	nestedKinds []string
	client      *http.Client
	slots       chan struct{}
	running     atomic.Int64
	// attempts counts the calls that arrived, including those rejected.
	attempts atomic.Int64
	// peakRunning is the highest number of calls that ran concurrently.
	peakRunning atomic.Int64
	// serviceTime is the mean run time of a call, in nanoseconds.
	serviceTime atomic.Int64
	// failing makes every call fail with status 500 without running.
	failing atomic.Bool
	// draining makes the upstream reject every call as not run.
	draining atomic.Bool
	// rejects is the share of the calls that are rejected as not run, and copies that
	// of the responses that are sent twice, both from 0 to 1.
	rejects, copies share
	// lossRate is the fraction of calls whose connection is closed after the
	// run and before the response.
	lossRate float64

	mu sync.Mutex
	// runCounts holds the number of runs by kind and headerWork identity.
	runCounts map[string]map[string]int
}

func newUpstream(c *cli.Command) *upstream {
	u := &upstream{
		node:        c.String("node"),
		nestedKinds: c.StringSlice("onward"),
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Int("slots")}},
		slots:       make(chan struct{}, c.Int("slots")),
		lossRate:    c.Float64("loss"),
		runCounts:   make(map[string]map[string]int),
	}
	u.serviceTime.Store(int64(c.Duration("service-time")))
	return u
}

func (u *upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/runs", u.handleRuns)
	mux.HandleFunc("GET /admin/peak", u.handlePeak)
	mux.HandleFunc("GET /admin/attempts", u.handleAttempts)
	mux.HandleFunc("POST /admin/set", u.handleSet)
	mux.HandleFunc("/", u.handleCall)
	return mux
}

// handleCall runs one call: it takes a slot, makes the nested calls, waits for
// the service time and echoes the request body. Without a free slot it rejects
// the call as not run.
func (u *upstream) handleCall(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(headerRun, q.Header.Get(headerRun))
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	u.attempts.Add(1)
	if u.failing.Load() {
		http.Error(w, "simulated failure", http.StatusInternalServerError)
		return
	}
	if u.draining.Load() || rand.Float64() < u.rejects.Load() {
		respondNotRun(w)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		respondNotRun(w)
		return
	}
	running := u.running.Add(1)
	defer u.running.Add(-1)
	u.updatePeak(running)
	u.countRun(q)
	if status := u.makeNestedCalls(q, body); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if !u.simulateWork(q.Context()) {
		return
	}
	if rand.Float64() < u.lossRate {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func respondNotRun(w http.ResponseWriter) {
	w.Header().Set(headerOutcome, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *upstream) updatePeak(running int64) {
	for {
		peak := u.peakRunning.Load()
		if running <= peak || u.peakRunning.CompareAndSwap(peak, running) {
			return
		}
	}
}

// countRun counts a run of the call. It is called before any other work of the
// run, so that an interrupted run counts too.
func (u *upstream) countRun(q *http.Request) {
	id := q.Header.Get(headerWork)
	if id == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	kind := q.Header.Get(headerKind)
	if u.runCounts[kind] == nil {
		u.runCounts[kind] = make(map[string]int)
	}
	u.runCounts[kind][id]++
}

// makeNestedCalls makes the nested calls one after the other and returns the
// status of the call: 200, or the error status of the first that failed.
func (u *upstream) makeNestedCalls(q *http.Request, body []byte) int {
	for _, kind := range u.nestedKinds {
		c, err := http.NewRequestWithContext(q.Context(), http.MethodPost, "http://"+u.node+"/", strings.NewReader(string(body)))
		if err != nil {
			return http.StatusInternalServerError
		}
		c.Header.Set(headerRun, q.Header.Get(headerRun))
		c.Header.Set(headerKind, kind)
		if id := q.Header.Get(headerWork); id != "" {
			c.Header.Set(headerWork, id)
		}
		res, err := u.client.Do(c)
		if err != nil {
			return http.StatusBadGateway
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			return http.StatusBadGateway
		}
	}
	return http.StatusOK
}

// simulateWork sleeps for a random time within 25% of the mean service time. It
// returns false if the call was cancelled before that.
func (u *upstream) simulateWork(ctx context.Context) bool {
	mean := float64(u.serviceTime.Load())
	return clock.Sleep(ctx, time.Duration(mean*(0.75+rand.Float64()/2)))
}

// handleRuns responds with the number of runs by kind and headerWork identity.
func (u *upstream) handleRuns(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.runCounts)
}

func (u *upstream) handlePeak(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.peakRunning.Load())
}

func (u *upstream) handleAttempts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.attempts.Load())
}

// share is a number from 0 to 1 that may change at any time.
type share struct{ bits atomic.Uint64 }

// Load returns the share.
func (s *share) Load() float64 { return math.Float64frombits(s.bits.Load()) }

// set parses and stores the share if there is a text.
func (s *share) set(text string) error {
	if text == "" {
		return nil
	}
	x, err := strconv.ParseFloat(text, 64)
	if err == nil {
		s.bits.Store(math.Float64bits(x))
	}
	return err
}

// handleSet changes the parameters service-time, failing, draining, rejects and
// copies.
func (u *upstream) handleSet(w http.ResponseWriter, q *http.Request) {
	values := q.URL.Query()
	if text := values.Get("service-time"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 || d > maxServiceTime {
			http.Error(w, "parameter service-time must be a duration from 0s to 1m", http.StatusBadRequest)
			return
		}
		u.serviceTime.Store(int64(d))
	}
	if u.rejects.set(values.Get("rejects")) != nil || u.copies.set(values.Get("copies")) != nil {
		http.Error(w, "parameters rejects and copies must be numbers", http.StatusBadRequest)
		return
	}
	if values.Has("failing") {
		u.failing.Store(values.Get("failing") == "true")
	}
	if values.Has("draining") {
		u.draining.Store(values.Get("draining") == "true")
	}
}
