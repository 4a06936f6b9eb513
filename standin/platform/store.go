package main

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// defaultRate is the number of reads a second that the service answers.
const defaultReadRate = 2000

// mode is the fault that the service shows.
type mode string

const (
	modeUp mode = "up"
	// modeDown fails every read.
	modeDown mode = "down"
	// modeStale serves the copy kept by the last mark.
	modeStale mode = "stale"
)

type document struct {
	version uint64
	body    []byte
}

// store holds the documents and the faults. It is safe for concurrent use.
type store struct {
	readLimiter *rate.Limiter

	mu        sync.Mutex
	documents map[string]document
	// marked is the copy that modeStale serves.
	staleDocuments map[string]document
	index          uint64
	mode           mode
	reads          int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore(reads int) *store {
	return &store{
		readLimiter: rate.NewLimiter(rate.Limit(reads), reads),
		documents:   make(map[string]document),
		mode:        modeUp,
		changed:     make(chan struct{}),
	}
}

// load publishes every YAML file below folder under its path without ending.
func (s *store) load(folder string) error {
	for _, pattern := range []string{"records/*.yaml", "vms/*.yaml"} {
		files, err := filepath.Glob(filepath.Join(folder, pattern))
		if err != nil {
			return err
		}
		for _, f := range files {
			body, err := os.ReadFile(f)
			if err != nil {
				return err
			}
			key, err := filepath.Rel(folder, f)
			if err != nil {
				return err
			}
			s.publish(strings.TrimSuffix(key, ".yaml"), body)
		}
	}
	return nil
}

func (s *store) publish(key string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.documents[key] = document{version: s.index, body: body}
	s.notifyWatchers()
}

func (s *store) setMode(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyWatchers()
}

// mark keeps a copy of the documents for modeStale.
func (s *store) saveStaleCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleDocuments = maps.Clone(s.documents)
}

func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// view returns the documents that readers see and the channel that is closed
// at the next change.
func (s *store) snapshot() (values map[string]document, index uint64, m mode, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	values = s.documents
	if s.mode == modeStale {
		values = s.staleDocuments
	}
	values = maps.Clone(values)
	for _, v := range values {
		index = max(index, v.version)
	}
	return values, index, s.mode, s.changed
}

func sortedKeys(values map[string]document) []string {
	return slices.Sorted(maps.Keys(values))
}
