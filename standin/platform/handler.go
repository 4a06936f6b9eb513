package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxDocumentBytes is the size limit of a document. It is one byte above the
	// limit of 1 MiB that nodes accept, so that tests can publish a document
	// that nodes must reject.
	maxDocumentBytes = 1<<20 + 1
	// maxWatchWait is the longest time that a watch request is held open.
	maxWatchWait = time.Minute
)

// listing is the response to a list or watch request.
type listing struct {
	Index uint64       `json:"index"`
	Keys  []keyVersion `json:"keys"`
}

// keyVersion is the key of a document and the index at which it was published.
type keyVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/list", s.limitReads(s.handleList))
	mux.HandleFunc("GET /v1/watch", s.limitReads(s.handleWatch))
	mux.HandleFunc("GET /v1/value", s.limitReads(s.handleValue))
	mux.HandleFunc("PUT /admin/value", s.handlePut)
	mux.HandleFunc("POST /admin/mode", s.handleMode)
	mux.HandleFunc("POST /admin/mark", func(http.ResponseWriter, *http.Request) { s.saveStaleCopy() })
	mux.HandleFunc("GET /admin/reads", s.handleReadCount)
	return mux
}

// limitReads applies the rate limit to a read handler.
func (s *store) limitReads(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if !s.readLimiter.Allow() {
			http.Error(w, "read rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		h(w, q)
	}
}

func (s *store) handleList(w http.ResponseWriter, _ *http.Request) {
	documents, index, m, _ := s.snapshot()
	if m == modeDown {
		http.Error(w, "simulated outage", http.StatusServiceUnavailable)
		return
	}
	writeListing(w, documents, index)
}

func writeListing(w http.ResponseWriter, documents map[string]document, index uint64) {
	out := listing{Index: index}
	for _, key := range sortedKeys(documents) {
		out.Keys = append(out.Keys, keyVersion{Key: key, Version: documents[key].version})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// handleWatch responds with the listing once its index is above the parameter
// index, or after the time in the parameter wait.
func (s *store) handleWatch(w http.ResponseWriter, q *http.Request) {
	known, err := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64)
	if err != nil {
		http.Error(w, "parameter index must be an unsigned integer", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "parameter wait must be a duration", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(wait, maxWatchWait))
	defer timeout.Stop()
	for {
		documents, index, m, changed := s.snapshot()
		if m == modeDown {
			http.Error(w, "simulated outage", http.StatusServiceUnavailable)
			return
		}
		if index > known {
			writeListing(w, documents, index)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeListing(w, documents, index)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *store) handleValue(w http.ResponseWriter, q *http.Request) {
	documents, _, m, _ := s.snapshot()
	v, ok := documents[q.URL.Query().Get("key")]
	switch {
	case m == modeDown:
		http.Error(w, "simulated outage", http.StatusServiceUnavailable)
	case !ok:
		http.NotFound(w, q)
	default:
		_, _ = w.Write(v.body)
	}
}

// handlePut publishes the request body under the parameter key.
func (s *store) handlePut(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxDocumentBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.publish(q.URL.Query().Get("key"), body)
}

func (s *store) handleMode(w http.ResponseWriter, q *http.Request) {
	switch m := mode(q.URL.Query().Get("mode")); m {
	case modeUp, modeDown, modeStale:
		s.setMode(m)
	default:
		http.Error(w, "parameter mode must be up, down or stale", http.StatusBadRequest)
	}
}

// handleReadCount responds with the number of reads.
func (s *store) handleReadCount(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.reads)
}
