package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, and also an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store, read side only. What servers
// and the operator write is written by calls of put and remove.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	events  []item
	rev     uint64
	changed chan struct{}
	// hung is set while the store answers nothing; hangs counts how often it began.
	hung     bool
	hangs    int
	listener net.Listener
}

func newStore(l net.Listener) *store {
	s := &store{items: make(map[string]item), rev: 1, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.answerOrHang(s.key))
	mux.HandleFunc("GET /-/kv-range", s.answerOrHang(s.list))
	mux.HandleFunc("GET /-/kv-watch", s.answerOrHang(s.watch))
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s
}

// put stores a value and returns when that was acknowledged.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: encoded, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.changeLocked(it)
	return time.Now()
}

// remove deletes a key and returns when that was acknowledged.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.changeLocked(item{Key: key, Revision: s.rev, Deleted: true})
	return time.Now()
}

func (s *store) changeLocked(e item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// hang makes the store answer nothing until release. What it was asked before or
// meanwhile is never answered.
func (s *store) hang() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung = true
	s.hangs++
	return time.Now()
}

func (s *store) release() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung = false
	return time.Now()
}

type answer func(q *http.Request) (status int, body any)

// answerOrHang answers a request, unless the store hangs or has hung since it came.
func (s *store) answerOrHang(f answer) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		s.mu.Lock()
		before := s.hangs
		hung := s.hung
		s.mu.Unlock()
		var status int
		var body any
		if !hung {
			status, body = f(q)
			s.mu.Lock()
			hung = s.hangs != before
			s.mu.Unlock()
		}
		if hung {
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) key(q *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[q.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, map[string]any{"storeRevision": s.rev}
	}
	return http.StatusOK, it
}

func (s *store) list(q *http.Request) (int, any) {
	prefix, after := q.URL.Query().Get("pathPrefix"), q.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.rev}
}

func (s *store) watch(q *http.Request) (int, any) {
	prefix := q.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "storeRevision": rev}
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-q.Context().Done():
			return 0, nil
		}
	}
}
