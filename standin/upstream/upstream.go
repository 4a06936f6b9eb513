package main

import (
	"context"
	"encoding/json"
	"io"
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

// The headers of the product that an upstream repeats or reads.
const (
	headerRun     = "Cuminhollow-Run"
	headerKind    = "Cuminhollow-Kind"
	headerOutcome = "Cuminhollow-Outcome"
	// headerWork is set by tests and by the load tool: the identity of a piece
	// of work, which must run at most once.
	headerWork = "X-Work"
)

// maxPause bounds the pause that an administrator can ask for.
const maxServiceTime = time.Minute

// upstream is one VM of a service.
type upstream struct {
	node        string
	nestedKinds []string
	client      *http.Client
	slots       chan struct{}
	running     atomic.Int64
	// attempts counts the calls that arrived, refused ones included.
	attempts atomic.Int64
	// peak is the most calls that ran at a time.
	peakRunning atomic.Int64
	// serviceTime is the mean time of a call, in nanoseconds.
	serviceTime atomic.Int64
	// failing makes calls fail at once, without running.
	failing atomic.Bool
	// draining makes calls refused as not run.
	draining atomic.Bool
	lossRate float64

	mu sync.Mutex
	// log counts the runs of each piece of work, by kind.
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

// serve runs one call: it takes a slot, calls onward, works and answers with
// the body that it was sent.
func (u *upstream) handleCall(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	u.attempts.Add(1)
	if u.failing.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if u.draining.Load() {
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

// note enters the call in the log before anything else is done for it.
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

// callOnward makes the onward calls one after the other.
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

// work takes the service time with a spread of a quarter either way; it
// reports whether the call was not cancelled meanwhile.
func (u *upstream) simulateWork(ctx context.Context) bool {
	mean := float64(u.serviceTime.Load())
	return clock.Sleep(ctx, time.Duration(mean*(0.75+rand.Float64()/2)))
}

// runs tells how often each piece of work of each kind ran.
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

// set changes the behaviour: service-time, failing and draining.
func (u *upstream) handleSet(w http.ResponseWriter, q *http.Request) {
	values := q.URL.Query()
	if text := values.Get("service-time"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 || d > maxServiceTime {
			http.Error(w, "service-time must be a duration up to a minute", http.StatusBadRequest)
			return
		}
		u.serviceTime.Store(int64(d))
	}
	if values.Has("failing") {
		u.failing.Store(values.Get("failing") == "true")
	}
	if values.Has("draining") {
		u.draining.Store(values.Get("draining") == "true")
	}
}
