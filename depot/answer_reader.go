package depot

import (
	"errors"
	"io"
)

const (
	// freeAnswerMemory is the memory that an answer may take without reserving it, in
	// bytes. Ordinary answers need less, and do not fail because others are endless.
	freeAnswerMemory = 64 << 10
	// AnswerBodyCopies is the memory that a byte of an answer's body takes at most while
	// it is read: the buffer that holds it doubles as it grows.
	AnswerBodyCopies = 3
	// defaultAnswerMemory is the memory for answers that are being read if the settings
	// name no memory of the VM, in bytes.
	defaultAnswerMemory = 32 << 20
	// answerMemoryShare is the share of the VM's memory for such answers.
	answerMemoryShare = 0.125
)

// ErrAnswerMemory is returned by an AnswerReader if there is no memory for the answer.
var ErrAnswerMemory = errors.New("depot: no memory for the answer")

// AnswerReader reads the answer to a run and reserves memory for it as its bytes
// arrive. Answers without an end, of many runs at a time, therefore cannot use up the
// memory of the VM.
type AnswerReader struct {
	source io.Reader
	run    *Run
	// copies is the memory that a byte takes.
	copies int
	// taken is the memory that the bytes read so far take.
	taken int
	// exceeded is set once there was no memory.
	exceeded bool
}

// NewAnswerReader returns a reader of the answer to a run. Copies is the memory that
// each of its bytes takes while the answer is read.
func NewAnswerReader(source io.Reader, run *Run, copies int) *AnswerReader {
	return &AnswerReader{source: source, run: run, copies: copies}
}

// SetCopies changes the memory that each further byte takes, and each of those that were
// read ahead. What was reserved for these stays so.
func (a *AnswerReader) SetCopies(copies, ahead int) {
	a.taken += min(ahead, a.taken/a.copies) * (copies - a.copies)
	a.copies = copies
}

// Read implements io.Reader.
func (a *AnswerReader) Read(p []byte) (int, error) {
	n, err := a.source.Read(p)
	before := max(a.taken, freeAnswerMemory)
	a.taken += n * a.copies
	if more := a.taken - before; more > 0 && !a.run.Reserve(more) {
		a.exceeded = true
		return n, ErrAnswerMemory
	}
	return n, err
}

// Exceeded reports whether a read failed with ErrAnswerMemory. Parsers may report
// another error instead.
func (a *AnswerReader) Exceeded() bool { return a.exceeded }
