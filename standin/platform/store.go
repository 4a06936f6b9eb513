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

// defaultReadRate is the number of reads per second that the platform answers.
const defaultReadRate = 2000

// mode selects the fault that the platform simulates.
type mode string

const (
	// modeUp serves the current documents.
	modeUp mode = "up"
	// modeDown fails every read.
	modeDown mode = "down"
	// modeStale serves the copy that saveStaleCopy made last.
	modeStale mode = "stale"
)

// document is a published body. Its version is the index of the store at the
// time of publication.
type document struct {
	version uint64
	body    []byte
}

// store holds the documents and the simulated fault. It is safe for concurrent
// use.
type store struct {
	readLimiter *rate.Limiter

	mu        sync.Mutex
	documents map[string]document
	// staleDocuments is the copy that modeStale serves.
	staleDocuments map[string]document
	// index is the version of the document that was published last.
	index uint64
	mode  mode
	// reads counts the calls of snapshot.
	reads int64
	// changed is closed and replaced whenever a document or the mode changes.
	changed chan struct{}
}

func newStore(readRate int) *store {
	return &store{
		readLimiter: rate.NewLimiter(rate.Limit(readRate), readRate),
		documents:   make(map[string]document),
		mode:        modeUp,
		changed:     make(chan struct{}),
	}
}

// load publishes the YAML files in the subfolders records and vms of folder. The
// key of a document is its path below folder without ".yaml".
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

// saveStaleCopy saves the current documents for modeStale.
func (s *store) saveStaleCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleDocuments = maps.Clone(s.documents)
}

func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot counts a read and returns the documents that a reader sees in the
// current mode, their highest version, the mode, and a channel that is closed at
// the next change.
func (s *store) snapshot() (documents map[string]document, index uint64, m mode, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	documents = s.documents
	if s.mode == modeStale {
		documents = s.staleDocuments
	}
	documents = maps.Clone(documents)
	for _, v := range documents {
		index = max(index, v.version)
	}
	return documents, index, s.mode, s.changed
}

func sortedKeys(documents map[string]document) []string {
	return slices.Sorted(maps.Keys(documents))
}
