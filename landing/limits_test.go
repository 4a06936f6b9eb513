package landing

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func shortLimits() Limits {
	l := DefaultLimits()
	l.HeaderBytes = 8 << 10
	l.HeaderTime, l.BodyTime, l.IdleTime = 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	return l
}

// TestLimits sends requests that are too large, too slow or not valid. The status
// of the response tells which, and the connection ends.
func TestLimits(t *testing.T) {
	tests := []struct {
		name, text string
		want       int
	}{
		{"long request line", "GET /" + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 16<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"slow header", "GET / HTTP/1.1\r\nHost: h\r\n", http.StatusRequestTimeout},
		{"slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", http.StatusBadRequest},
		{"not HTTP", "\x16\x03\x01\x02\x00\r\n\r\n", http.StatusBadRequest},
		{"other version", "GET / HTTP/3.0\r\nHost: h\r\n\r\n", http.StatusHTTPVersionNotSupported},
		{"no host", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"control character", "GET / HTTP/1.1\r\nHost: h\r\nX: a\x01b\r\n\r\n", http.StatusBadRequest},
		{"blank in a name", "GET / HTTP/1.1\r\nHost: h\r\nX Y: z\r\n\r\n", http.StatusBadRequest},
		{"blank hides a length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 31\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		{"blank hides an encoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
		{"length twice", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", http.StatusBadRequest},
		{"unknown encoding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nxx", http.StatusBadRequest},
		{"unknown expectation", "POST / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\nContent-Length: 1\r\n\r\nx", http.StatusExpectationFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := startServer(t, echo, WithLimits(shortLimits))
			c := dial(t, address)
			c.send(tt.text)
			if status, _, closes := c.response(); status != tt.want || !closes {
				t.Errorf("got %d, closes %t, want %d and the connection closed", status, closes, tt.want)
			}
			c.expectEnd()
		})
	}
	t.Run("idle", func(t *testing.T) {
		_, address := startServer(t, echo, WithLimits(shortLimits))
		c := dial(t, address)
		c.send(get("id=1&delay=500"))
		c.expect("1:")
		began := time.Now()
		c.expectEnd()
		if took := time.Since(began); took < 100*time.Millisecond || took > 2*time.Second {
			t.Errorf("the idle connection ended after %s, want it after the idle time", took)
		}
	})
}

// TestSlowReader sends requests without reading the responses. The server must end
// the connection, and hold few responses meanwhile.
func TestSlowReader(t *testing.T) {
	limits := shortLimits()
	limits.WriteTime = 300 * time.Millisecond
	body := strings.Repeat("x", 1<<20)
	ended := make(chan struct{})
	s, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) },
		WithLimits(func() Limits { return limits }))
	c := dial(t, address)
	go func() {
		defer close(ended)
		for len(s.openConns()) > 0 {
			time.Sleep(time.Millisecond)
		}
	}()
	c.send(strings.Repeat(get("id=1"), 200))
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the connection of the slow reader is still open")
	}
	if got, limit := stats.HeapAlloc, uint64(4*maxOpen*len(body)); got > limit {
		t.Errorf("got %d bytes of heap, want at most %d", got, limit)
	}
}

// TestAnyPipeline sends random sequences of requests in random pieces and checks
// that each gets its own response, in order.
func TestAnyPipeline(t *testing.T) {
	_, address := startServer(t, echo)
	rapid.Check(t, func(rt *rapid.T) {
		c := dial(t, address)
		var text strings.Builder
		var want []string
		for n := range rapid.IntRange(1, 30).Draw(rt, "requests") {
			query := fmt.Sprintf("id=%d&delay=%d", n, rapid.IntRange(0, 3).Draw(rt, "delay"))
			body := ""
			if rapid.Bool().Draw(rt, "has body") {
				body = strings.Repeat("b", rapid.IntRange(0, 9000).Draw(rt, "length"))
				text.WriteString(post(query, body))
			} else {
				text.WriteString(get(query))
			}
			want = append(want, fmt.Sprintf("%d:%s", n, body))
		}
		size := rapid.IntRange(1, 20_000).Draw(rt, "piece")
		go func() {
			for rest := text.String(); rest != ""; {
				n := min(size, len(rest))
				c.send(rest[:n])
				rest = rest[n:]
			}
		}()
		c.expect(want...)
		_ = c.conn.Close()
	})
}

// FuzzConnection sends any bytes. The server must not fail, and must go on serving
// others.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(get("id=1") + post("id=2", "body")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"))
	limits := DefaultLimits()
	limits.HeaderTime, limits.BodyTime = 20*time.Millisecond, 20*time.Millisecond
	_, address := startServer(f, echo, WithLimits(func() Limits { return limits }))
	f.Fuzz(func(t *testing.T, in []byte) {
		c := dial(t, address)
		_, _ = c.conn.Write(in)
		_ = c.conn.(interface{ CloseWrite() error }).CloseWrite()
		_, _ = c.reader.WriteTo(new(strings.Builder))
		_ = c.conn.Close()
		other := dial(t, address)
		other.send(get("id=7"))
		other.expect("7:")
		_ = other.conn.Close()
	})
}
