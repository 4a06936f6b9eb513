package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a server did not turn away.
type arrival struct {
	at         time.Time
	id, server string
}

// appServer is a stand-in of an application server. It answers sound requests at once
// after a short run.
type appServer struct {
	id, service string
	work        time.Duration

	mu       sync.Mutex
	arrivals []arrival
	leaving  bool
}

func newAppServer(id, service string, work time.Duration, l net.Listener) *appServer {
	s := &appServer{id: id, service: service, work: work}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("/", s.run)
	go func() { _ = (&http.Server{Handler: mux, IdleTimeout: 10 * time.Second}).Serve(l) }()
	return s
}

func (s *appServer) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leave makes the server say that it leaves; it serves on.
func (s *appServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *appServer) run(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if expected := q.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, server: s.id})
	leaving := s.leaving
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, q.Body)
	time.Sleep(s.work)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Response-Signature", s.id+"."+id)
	fmt.Fprintf(w, "ran %s at %s\n", id, s.id)
}

func (s *appServer) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
