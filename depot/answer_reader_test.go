package depot

import (
	"errors"
	"io"
	"strings"
	"testing"

	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
)

// TestAnswerReaderFreeMemory guards against many answers that each take far more memory
// without reserving it than their bytes: what needs no reservation is counted as the
// memory that it takes, for a head, a body or a head and then a body.
func TestAnswerReaderFreeMemory(t *testing.T) {
	const chunk, headCopies = 512, 16
	for _, tt := range []struct {
		name string
		head int
	}{
		{"head", 1 << 20},
		{"body", 0},
		{"head and body", 2 << 10},
	} {
		now := clock.NewSystem()
		run := NewRun(&portage.Call{}, "run", now, now.Now()+1000, func() bool { return false }, WithAnswerMemory(ledger.NewBytes(0)))
		r := NewAnswerReader(strings.NewReader(strings.Repeat("x", 1<<20)), run, headCopies)
		taken, read := 0, 0
		for {
			if read >= tt.head {
				r.SetCopies(AnswerBodyCopies, 0)
			}
			n, err := r.Read(make([]byte, chunk))
			read += n
			if errors.Is(err, ErrAnswerMemory) {
				break
			}
			if errors.Is(err, io.EOF) {
				t.Fatalf("%s: got all bytes, want %v", tt.name, ErrAnswerMemory)
			}
			copies := AnswerBodyCopies
			if read <= tt.head {
				copies = headCopies
			}
			taken += n * copies
		}
		if got := taken; got > freeAnswerMemory || got < freeAnswerMemory-chunk*headCopies {
			t.Errorf("%s: got %d bytes of memory without a reservation, want at most %d", tt.name, got, freeAnswerMemory)
		}
	}
}

// TestAnswerReaderAhead reads the beginning of a body together with the head: it takes
// the memory of a body, so that an ordinary answer needs no reservation.
func TestAnswerReaderAhead(t *testing.T) {
	const headCopies, head, body = 16, 256, 15 << 10
	now := clock.NewSystem()
	run := NewRun(&portage.Call{}, "run", now, now.Now()+1000, func() bool { return false }, WithAnswerMemory(ledger.NewBytes(0)))
	r := NewAnswerReader(strings.NewReader(strings.Repeat("x", head+body)), run, headCopies)
	if _, err := io.ReadFull(r, make([]byte, freeAnswerMemory/headCopies)); err != nil {
		t.Fatalf("head: got %v, want none", err)
	}
	r.SetCopies(AnswerBodyCopies, freeAnswerMemory/headCopies-head)
	if _, err := io.Copy(io.Discard, r); err != nil {
		t.Errorf("body: got %v, want none", err)
	}
}
