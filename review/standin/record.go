package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes what was sent, answered and run to a file.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// add writes one line with the time since the start in seconds.
func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%8.3f ", time.Since(j.began).Seconds())
	_, _ = fmt.Fprintf(j.out, format, args...)
	_ = j.out.WriteByte('\n')
}

// say writes one line and prints it too.
func (j *journal) say(format string, args ...any) {
	j.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.out.Flush()
	_ = j.file.Close()
}
