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

// callTimeout is longer than any target time in these tests.
const callTimeout = 30 * time.Second

// result is what a caller was told of one call.
type result struct {
	id      string
	status  int
	outcome string
	reason  string
	ticket  string
	body    string
	// err is set when the entry node was lost before it answered.
	err     error
	elapsed time.Duration
}

// tally collects the results of calls by many goroutines.
type resultLog struct {
	mu      sync.Mutex
	results []result
}

func (a *resultLog) add(r result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(a.results, r)
}

func (a *resultLog) all() []result {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]result(nil), a.results...)
}

func (a *resultLog) count(outcome string) int {
	n := 0
	for _, r := range a.all() {
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
		t.Fatalf("start: %v", err)
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

// call sends one piece of work to a node. The body differs for each identity,
// so that an answer to another call is noticed.
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
	began := time.Now()
	r := send(q)
	r.id = id
	r.elapsed = time.Since(began)
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

// outcomeOf asks a node what became of a ticket.
func queryTicket(address, kind, ticket string) result {
	q, err := http.NewRequest(http.MethodGet, "http://"+address+"/cuminhollow/tickets", nil)
	if err != nil {
		return result{err: err}
	}
	q.Header.Set("Cuminhollow-Kind", kind)
	q.Header.Set("Cuminhollow-Ticket", ticket)
	return send(q)
}

// reserve takes a ticket for a certificate from a node without running anything.
func reserveTicket(t *testing.T, address string) string {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/cuminhollow/tickets", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Cuminhollow-Kind", "certificate")
	r := send(q)
	if r.err != nil || r.ticket == "" {
		t.Fatalf("reserve: got %+v, want a ticket", r)
	}
	return r.ticket
}

// load sends calls of a kind to the VMs in turn, at most workers at a time,
// until stop is closed. Each call has an identity of its own.
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

// loadFor runs load for a span while during runs beside it.
func generateLoadFor(vms []*fleet.VM, kind string, workers int, span time.Duration, during func()) *resultLog {
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		during()
	}()
	time.AfterFunc(span, func() { close(stop) })
	results := generateLoad(vms, kind, workers, stop)
	<-ended
	return results
}

// checkTruth compares what callers were told of non-idempotent work with the
// logs of the upstreams: nothing ran twice, what was answered ran, what was
// said not to have run did not, and each answer is the caller's own.
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
				t.Errorf("%s: got answer %.40q, want its own %.40q", r.id, r.body, want)
			}
			if r.status == http.StatusOK && runs[r.id] != 1 {
				t.Errorf("%s: answered, but got %d runs, want 1", r.id, runs[r.id])
			}
		case "not-run":
			if runs[r.id] != 0 {
				t.Errorf("%s: told not-run (%s), but got %d runs, want 0", r.id, r.reason, runs[r.id])
			}
		case "unknown":
		default:
			t.Errorf("%s: got outcome %q, status %d, want answered, not-run or unknown", r.id, r.outcome, r.status)
		}
	}
}

// checkAllAnswered expects a whole answer to every call.
func checkAllAnswered(t *testing.T, results []result) {
	t.Helper()
	for _, r := range results {
		if r.err != nil || r.outcome != "answered" {
			t.Errorf("%s: got %q (%s) error %v after %s, want answered", r.id, r.outcome, r.reason, r.err, r.elapsed)
		}
	}
}

// eventually polls until done holds.
func waitUntil(t *testing.T, what string, within time.Duration, done func() bool) {
	t.Helper()
	end := time.Now().Add(within)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("%s: got nothing within %s, want it to hold", what, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
