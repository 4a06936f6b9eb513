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
const defaultRate = 2000

// mode is the fault that the service shows.
type mode string

const (
	modeUp mode = "up"
	// modeDown fails every read.
	modeDown mode = "down"
	// modeStale serves the copy kept by the last mark.
	modeStale mode = "stale"
)

type value struct {
	version uint64
	body    []byte
}

// store holds the documents and the faults. It is safe for concurrent use.
type store struct {
	limit *rate.Limiter

	mu     sync.Mutex
	values map[string]value
	// marked is the copy that modeStale serves.
	marked map[string]value
	index  uint64
	mode   mode
	reads  int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore(reads int) *store {
	return &store{
		limit:   rate.NewLimiter(rate.Limit(reads), reads),
		values:  make(map[string]value),
		mode:    modeUp,
		changed: make(chan struct{}),
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
	s.values[key] = value{version: s.index, body: body}
	s.notify()
}

func (s *store) setMode(m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notify()
}

// mark keeps a copy of the documents for modeStale.
func (s *store) mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marked = maps.Clone(s.values)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// view returns the documents that readers see and the channel that is closed
// at the next change.
func (s *store) view() (values map[string]value, index uint64, m mode, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	values = s.values
	if s.mode == modeStale {
		values = s.marked
	}
	values = maps.Clone(values)
	for _, v := range values {
		index = max(index, v.version)
	}
	return values, index, s.mode, s.changed
}

func sortedKeys(values map[string]value) []string {
	return slices.Sorted(maps.Keys(values))
}
