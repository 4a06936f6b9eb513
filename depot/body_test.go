package depot

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cuminhollow.example/clock"
	"cuminhollow.example/ledger"
	"cuminhollow.example/portage"
)

// TestBodyReader reads bodies within and beyond the limits. Whatever happens, all
// of the memory is free again at the end.
func TestBodyReader(t *testing.T) {
	const limit, memory = 100 << 10, 60 << 10 * bodyCopies
	text := func(n int) string { return strings.Repeat("x", n) }
	tests := []struct {
		name string
		body io.Reader
		// length is that of the header; -1 for a body in chunks.
		length int64
		want   string
	}{
		{"none", strings.NewReader(""), 0, ""},
		{"whole", strings.NewReader(text(50 << 10)), 50 << 10, ""},
		{"in chunks", strings.NewReader(text(30 << 10)), -1, ""},
		{"too large", strings.NewReader(text(limit + 1)), limit + 1, reasonBodyTooLarge},
		{"too large, in chunks", strings.NewReader(text(limit + 1)), -1, reasonMemory},
		{"no memory", strings.NewReader(text(80 << 10)), 80 << 10, reasonMemory},
		{"no memory, in chunks", strings.NewReader(text(90 << 10)), -1, reasonMemory},
		{"ends early", strings.NewReader("x"), 10, reasonBodyIncomplete},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budget := ledger.NewBytes(memory)
			q := httptest.NewRequest(http.MethodPost, "/", tt.body)
			q.ContentLength = tt.length
			b, reason := NewBodyReader(budget).Read(httptest.NewRecorder(), q, limit)
			if reason != tt.want {
				t.Errorf("got reason %q, want %q", reason, tt.want)
			}
			if reason == "" {
				if budget.Used() < int64(bodyCopies*len(b.Bytes())) {
					t.Errorf("got %d bytes reserved for a body of %d", budget.Used(), len(b.Bytes()))
				}
				b.Release()
				b.Release()
			}
			if got := budget.Used(); got != 0 {
				t.Errorf("got %d bytes still reserved, want none", got)
			}
		})
	}
	t.Run("large memory", func(t *testing.T) {
		q := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text(limit+1)))
		q.ContentLength = -1
		if _, reason := NewBodyReader(ledger.NewBytes(100*limit)).Read(httptest.NewRecorder(), q, limit); reason != reasonBodyTooLarge {
			t.Errorf("got reason %q, want %q", reason, reasonBodyTooLarge)
		}
	})
}

// TestBodyMemoryOfOwner sends calls with more bytes in all than the owner may hold.
// The others must be rejected as not run, and none of them may run later.
func TestBodyMemoryOfOwner(t *testing.T) {
	const calls, size = 20, 10 << 10
	a, vm := startFakeAdapter(t, "u-1", "")
	a.setRoster(vm)
	a.node.owner.memory = ledger.NewBytes(4 * size)
	release := make(chan struct{})
	var ran sync.Map
	a.run = func(ctx context.Context, c *portage.Call) RunResult {
		ran.Store(c.Request, true)
		select {
		case <-release:
		case <-ctx.Done():
		}
		return answerOK(ctx, c)
	}
	var rejected, answered atomic.Int64
	var wg sync.WaitGroup
	for n := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := "id-" + string(rune('a'+n))
			answer := a.node.Dispatch(t.Context(), &IncomingCall{
				ID: id, Policy: nonIdempotentPolicy, TimeLeft: 5 * clock.Second, Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte{1}, size),
			})
			_, hasRun := ran.Load(id)
			switch {
			case answer.Outcome == portage.OutcomeAnswered:
				answered.Add(1)
			case answer.Outcome == portage.OutcomeNotRun && !hasRun:
				if rejected.Add(1) == calls-4 {
					close(release)
				}
			default:
				t.Errorf("call %s: got %s (%s), has run: %t", id, answer.Outcome, answer.Reason, hasRun)
			}
		}()
	}
	wg.Wait()
	if got, want := answered.Load(), int64(4); got != want {
		t.Errorf("got %d calls answered, want %d", got, want)
	}
	if got := a.node.owner.memory.Used(); got != 0 {
		t.Errorf("got %d bytes still reserved, want none", got)
	}
}
