package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

const (
	// requestRate is the number of requests per second for each VM.
	requestRate = 10
	// callerTimeout is how long a caller waits for an answer. It is longer than
	// the target time and any pause of a node.
	callerTimeout = 8 * time.Second
	// raceTime is the most time between the sending of a request on an idle
	// connection and the notice that it was being closed, on a busy machine. It is
	// shorter than any run.
	raceTime = 40 * time.Millisecond
)

// result is what a caller was told about one request.
type result struct {
	ID, Kind string
	// VM is the index of the VM that took the request.
	VM int
	// From and To are times since the start of the load.
	From, To time.Duration
	Status   int
	Outcome  string
	Reason   string
	Body     string
	// Err is the error if there was no whole answer. Refused is set if no
	// connection could be opened, and Raced if the connection had been idle and was
	// closed within raceTime without a byte of an answer.
	Err            error
	Refused, Raced bool
}

// callers send requests at a rate that does not depend on the answers.
type callers struct {
	run    *run
	client *http.Client
	group  sync.WaitGroup

	mu      sync.Mutex
	results []result
}

func newCallers(r *run) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &callers{run: r, client: &http.Client{Transport: transport}}
}

// send sends requests until ctx ends, and returns all results once each request
// has one.
func (c *callers) send(ctx context.Context, seed uint64) []result {
	random := rand.New(rand.NewPCG(seed, 1))
	mean := float64(time.Second) / float64(requestRate*len(c.run.vms))
	for n := 0; ctx.Err() == nil; n++ {
		kind := kindSeal
		if random.IntN(2) == 0 {
			kind = kindHistory
		}
		vm := random.IntN(len(c.run.vms))
		c.group.Go(func() { c.request(fmt.Sprintf("%s-%d", kind, n), kind, vm) })
		time.Sleep(time.Duration(random.ExpFloat64() * mean))
	}
	c.group.Wait()
	c.client.CloseIdleConnections()
	return c.results
}

// bodyOf returns the body of a request, which differs from that of others in
// content and length.
func bodyOf(id string) string { return id + strings.Repeat("*", len(id)%7*100) }

func (c *callers) request(id, kind string, vm int) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r := result{ID: id, Kind: kind, VM: vm, From: c.run.now()}
	idle, answered := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { idle = i.WasIdle },
		GotFirstResponseByte: func() { answered = true },
	})
	r.Err = c.exchange(ctx, &r)
	r.To = c.run.now()
	var op *net.OpError
	r.Refused = errors.As(r.Err, &op) && op.Op == "dial"
	r.Raced = r.Err != nil && idle && !answered && r.To-r.From < raceTime
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// exchange sends a request and reads its answer into r.
func (c *callers) exchange(ctx context.Context, r *result) error {
	address := c.run.vms[r.VM].CallerAddress
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/work", bytes.NewReader([]byte(bodyOf(r.ID))))
	if err != nil {
		return err
	}
	q.Header.Set("Cuminhollow-Kind", r.Kind)
	q.Header.Set("X-Work", r.ID)
	// Without it the client would send the request again by itself.
	q.GetBody = nil
	res, err := c.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	r.Status, r.Outcome, r.Body = res.StatusCode, res.Header.Get("Cuminhollow-Outcome"), string(body)
	return nil
}
