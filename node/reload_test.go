package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cuminhollow.example/standin/fleet"
)

// runAsNodeEnv is the environment variable that makes the test binary run as
// the node.
const runAsNodeEnv = "CUMINHOLLOW_TEST_AS_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(runAsNodeEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// settingsText returns the settings of a node on host, with the line extra
// added.
func settingsText(host fleet.Host, extra string) string {
	return fmt.Sprintf(`vm: u-1
service: desk
region: kutch
zone: kutch-a
listen: {callers: %q, peers: %q, operators: %q}
upstream: {address: "127.0.0.1:1"}
platform: ["127.0.0.1:1"]
adapter: {name: platform, regions: {kutch-a: kutch}, peer_port: 7000}
transport: {plain: true}
stop: {within_s: 3}
%s
`, host.CallerAddress(), host.PeerAddress(), host.OperatorAddress(), extra)
}

// TestHangup sends SIGHUP to a real process with unchanged and with invalid
// settings, and again during a graceful stop, and changes the settings without
// a signal. The process must keep running and stop gracefully; without a
// handler, SIGHUP would kill it.
func TestHangup(t *testing.T) {
	host := fleet.NewHost()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(extra string) {
		if err := os.WriteFile(file, []byte(settingsText(host, extra)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c := exec.CommandContext(ctx, os.Args[0], "run", "--settings", file)
	c.Env = append(os.Environ(), runAsNodeEnv+"=1")
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	waitFor := func(event string) string {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), "event="+event) {
				return lines.Text()
			}
		}
		t.Fatalf("the process ended before event %s", event)
		return ""
	}
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := c.Process.Signal(s); err != nil {
			t.Fatalf("signal %s: %v", s, err)
		}
	}
	waitFor("plain-transport")
	waitFor("store-lost")
	signal(syscall.SIGHUP)
	waitFor("settings-unchanged")
	write("heap_growth_percent: -1")
	signal(syscall.SIGHUP)
	if got, want := waitFor("settings-refused"), "heap_growth_percent"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q in it", got, want)
	}
	write("retries: {share: 0.3, spare: 5, window_s: 10}")
	waitFor("settings-reloaded")
	signal(syscall.SIGTERM)
	waitFor("stopping")
	signal(syscall.SIGHUP)
	waitFor("stopped")
	for lines.Scan() {
		continue
	}
	if err := c.Wait(); err != nil {
		t.Errorf("got %v, want a graceful stop", err)
	}
}

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestAsyncWriterNeverBlocks logs more lines than the queue holds while the
// output is blocked. Logging must not block, and the dropped lines must be
// counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	defer close(w.release)
	o := newAsyncWriter(w)
	log := zerolog.New(o)
	const lines = 5000
	for range lines {
		log.Warn().Str("event", "x").Send()
	}
	if got, want := o.droppedUnreported.Load(), uint64(lines-lineQueueSize-2); got < want {
		t.Errorf("got %d dropped lines, want at least %d", got, want)
	}
}

// TestAsyncWriterDropsSuccessesFirst uses up more than half of the burst.
// Ordinary successes, logged at debug level, are then dropped; rejections are
// not.
func TestAsyncWriterDropsSuccessesFirst(t *testing.T) {
	o := &asyncWriter{lines: make(chan []byte, lineQueueSize), limiter: newLimiter()}
	for range linesBurst * 3 / 4 {
		o.limiter.Allow()
	}
	log := zerolog.New(o)
	log.Debug().Str("event", "success").Send()
	if got := len(o.lines); got != 0 {
		t.Errorf("success: got %d lines, want none", got)
	}
	log.Info().Str("event", "refused").Send()
	if got := len(o.lines); got != 1 {
		t.Errorf("rejection: got %d lines, want 1", got)
	}
}
