package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is a client's request and its answer.
type sent struct {
	id, from, path string
	at, ended      time.Time
	status         int
	signature      string
	body, fail     string
}

// log collects the requests of all clients.
type log struct {
	mu   sync.Mutex
	all  []*sent
	byID map[string]*sent
}

func newLog() *log { return &log{byID: make(map[string]*sent)} }

func (l *log) add(s *sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, s)
	l.byID[s.id] = s
}

func (l *log) get(id string) *sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

func (l *log) copy() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]sent, 0, len(l.all))
	for _, s := range l.all {
		out = append(out, *s)
	}
	return out
}

func newSent(m *machine, path string, n int) *sent {
	return &sent{id: fmt.Sprintf("%s%s-%06d", m.name, strings.ReplaceAll(path, "/", "-"), n), from: m.name, path: path, at: time.Now()}
}

// host is that of all routes.
const host = "desk.example"

// routeTimeout is the timeoutS of the route of fleet.configure.
const routeTimeout = 1500 * time.Millisecond

// load sends requests from a machine's clients to its node, one every gap, until ctx
// ends. Requests that may not be repeated have to be POST, which net/http never sends
// again once it was written.
func load(ctx context.Context, m *machine, l *log, method, path string, deadline, gap time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := newSent(m, path, n)
		l.add(s)
		wait.Go(func() { ask(client, l, s, method, "http://"+m.at(portOutbound)+path, deadline) })
	}
}

// ask sends one request and records its answer.
func ask(client *http.Client, l *log, s *sent, method, url string, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Request-Id", s.id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	res, err := client.Do(q)
	status, signature, body, fail := 0, "", "", ""
	if err == nil {
		var b []byte
		b, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		status, signature, body = res.StatusCode, res.Header.Get("Response-Signature"), string(b)
	}
	if err != nil {
		fail = err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.ended, s.status, s.signature, s.body, s.fail = time.Now(), status, signature, body, fail
}
