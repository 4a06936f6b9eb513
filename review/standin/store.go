package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. Its answers are linearizable and it
// keeps all of its history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// refuses reports whether calls from an address are answered with 503.
	refuses func(ip string) bool
	address string
}

func newStore(address string) (*store, error) {
	s := &store{items: make(map[string]item), changed: make(chan struct{}), revision: 100, address: address}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/kv-range", s.serveRange)
	mux.HandleFunc("/-/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes an item. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.recordLocked(it)
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.recordLocked(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) recordLocked(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// refused answers a call with 503 if the store turns its sender away.
func (s *store) refused(w http.ResponseWriter, r *http.Request) bool {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	refuses := s.refuses
	s.mu.Unlock()
	if refuses == nil || !refuses(host) {
		return false
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (s *store) setRefuses(f func(ip string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.refused(w, r) {
		return
	}
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.refused(w, r) {
			return
		}
		s.mu.Lock()
		var events []item
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": []item{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// route is a route of a configuration.
type route struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	PathPrefix     string  `json:"pathPrefix"`
	Kind           string  `json:"kind"`
	TimeoutS       float64 `json:"timeoutS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	MaxAttempts    int     `json:"maxAttempts"`
}

// putConfiguration writes a configuration with the given routes.
func (s *store) putConfiguration(version string, routes []route, services ...string) {
	byName := make(map[string]route)
	for _, r := range routes {
		byName[r.Name] = r
	}
	tables := make(map[string]any)
	for _, name := range services {
		tables[name] = map[string]any{"name": name, "healthCheckPath": "/health", "maxConnections": 532}
	}
	s.put("op/config", map[string]any{
		"version":  version,
		"routes":   byName,
		"services": tables,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutS": 5, "idleTimeoutS": 10,
		},
	})
}
