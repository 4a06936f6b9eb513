package proof

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cuminhollow.example/standin/fleet"
)

// callTimeout is the client timeout. It is longer than any target time in these
// tests.
const callTimeout = 30 * time.Second

// result is the response of a node to one call.
type result struct {
	id      string
	status  int
	outcome string
	reason  string
	ticket  string
	body    string
	// err is set if the entry node did not respond, for example because it was
	// killed.
	err     error
	elapsed time.Duration
}

// resultLog collects results. It is safe for concurrent use.
type resultLog struct {
	mu      sync.Mutex
	results []result
}

func (l *resultLog) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *resultLog) all() []result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]result(nil), l.results...)
}

func (l *resultLog) count(outcome string) int {
	n := 0
	for _, r := range l.all() {
		if r.err == nil && r.outcome == outcome {
			n++
		}
	}
	return n
}

func startFleet(t *testing.T, plan fleet.Plan) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(binDir, t.TempDir(), plan)
	if err != nil {
		t.Fatalf("start fleet: %v", err)
	}
	t.Cleanup(func() {
		if strings.Contains(f.Logs(), "DATA RACE") {
			t.Error("a node reported a data race, want none")
		}
		if t.Failed() {
			t.Log(tail(f.Logs(), 8000))
		}
		f.Stop()
	})
	return f
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// call sends the piece of work id to a node. headers are alternating header names
// and values. The body depends on id, so that checkOutcomes notices the response of
// another call.
func call(address, kind, id string, headers ...string) result {
	body := id + strings.Repeat("*", len(id)%7*100)
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/work", strings.NewReader(body))
	if err != nil {
		return result{id: id, err: err}
	}
	q.Header.Set("Cuminhollow-Kind", kind)
	q.Header.Set("X-Work", id)
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	start := time.Now()
	r := send(q)
	r.id = id
	r.elapsed = time.Since(start)
	return r
}

var client = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64},
}

func send(q *http.Request) result {
	res, err := client.Do(q)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return result{err: err}
	}
	r := result{
		status:  res.StatusCode,
		outcome: res.Header.Get("Cuminhollow-Outcome"),
		ticket:  res.Header.Get("Cuminhollow-Ticket"),
		body:    string(text),
	}
	if _, after, ok := bytes.Cut(text, []byte(`"reason":"`)); ok {
		reason, _, _ := bytes.Cut(after, []byte(`"`))
		r.reason = string(reason)
	}
	return r
}

// queryTicket asks a node for the outcome of a ticket.
func queryTicket(address, kind, ticket string) result {
	q, err := http.NewRequest(http.MethodGet, "http://"+address+"/cuminhollow/tickets", nil)
	if err != nil {
		return result{err: err}
	}
	q.Header.Set("Cuminhollow-Kind", kind)
	q.Header.Set("Cuminhollow-Ticket", ticket)
	return send(q)
}

// reserveTicket gets a ticket for kind "certificate" from a node without running
// a call.
func reserveTicket(t *testing.T, address string) string {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/cuminhollow/tickets", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Cuminhollow-Kind", "certificate")
	r := send(q)
	if r.err != nil || r.ticket == "" {
		t.Fatalf("reserve ticket: got %+v, want a ticket", r)
	}
	return r.ticket
}

// generateLoad sends calls of a kind to the VMs round robin from concurrent
// workers until stop is closed. Each call has a unique identity.
func generateLoad(vms []*fleet.VM, kind string, workers int, stop <-chan struct{}) *resultLog {
	out := new(resultLog)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := kind + "-" + strconv.Itoa(w) + "-" + strconv.Itoa(n)
				out.add(call(vms[(w+n)%len(vms)].CallerAddress, kind, id))
			}
		}()
	}
	wg.Wait()
	return out
}

// generateLoadFor runs generateLoad for the given duration and, at the same time,
// the function during. It returns when both have finished.
func generateLoadFor(vms []*fleet.VM, kind string, workers int, duration time.Duration, during func()) *resultLog {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		during()
	}()
	time.AfterFunc(duration, func() { close(stop) })
	results := generateLoad(vms, kind, workers, stop)
	<-done
	return results
}

// checkOutcomes compares the results of non-idempotent calls with the runs that
// the upstreams counted. It checks that no work ran twice, that answered work ran
// once, that work reported as not-run never ran, and that each body belongs to
// its call.
func checkOutcomes(t *testing.T, f *fleet.Fleet, kind string, results []result) {
	t.Helper()
	runs := f.Runs(kind)
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", id, n)
		}
	}
	for _, r := range results {
		if r.err != nil {
			continue
		}
		switch r.outcome {
		case "answered":
			want := r.id + strings.Repeat("*", len(r.id)%7*100)
			if r.status == http.StatusOK && r.body != want {
				t.Errorf("%s: got body %.40q, want its own %.40q", r.id, r.body, want)
			}
			if r.status == http.StatusOK && runs[r.id] != 1 {
				t.Errorf("%s: got outcome answered and %d runs, want 1", r.id, runs[r.id])
			}
		case "not-run":
			if runs[r.id] != 0 {
				t.Errorf("%s: got outcome not-run (%s) and %d runs, want 0", r.id, r.reason, runs[r.id])
			}
		case "unknown":
		default:
			t.Errorf("%s: got outcome %q, status %d, want answered, not-run or unknown", r.id, r.outcome, r.status)
		}
	}
}

// checkAllAnswered checks that every call has the outcome answered.
func checkAllAnswered(t *testing.T, results []result) {
	t.Helper()
	for _, r := range results {
		if r.err != nil || r.outcome != "answered" {
			t.Errorf("%s: got outcome %q (%s), error %v after %s, want answered", r.id, r.outcome, r.reason, r.err, r.elapsed)
		}
	}
}

// waitUntil polls until done returns true. It fails the test if that takes longer
// than within.
func waitUntil(t *testing.T, condition string, within time.Duration, done func() bool) {
	t.Helper()
	end := time.Now().Add(within)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("%s: condition is still false after %s", condition, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
