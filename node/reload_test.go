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

// asNode makes the test binary run as the node itself.
const asNode = "CUMINHOLLOW_TEST_AS_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(asNode) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func settingsText(host fleet.Host, more string) string {
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
`, host.CallerAddress(), host.PeerAddress(), host.OperatorAddress(), more)
}

// TestHangup sends SIGHUP to a real process: with unchanged, faulty and changed
// settings, and in the middle of a planned stop. The process goes on, and stops
// in good order.
func TestHangup(t *testing.T) {
	host := fleet.NewHost()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(more string) {
		if err := os.WriteFile(file, []byte(settingsText(host, more)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c := exec.CommandContext(ctx, os.Args[0], "run", "--settings", file)
	c.Env = append(os.Environ(), asNode+"=1")
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
		t.Errorf("got %v, want a planned stop", err)
	}
}

// blockedWriter never returns from Write until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestOutputNeverBlocks logs more than the bounds allow to a reader that does
// not read: the caller is not held up, and what is left out is counted.
func TestOutputNeverBlocks(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	defer close(w.release)
	o := newOutput(w)
	log := zerolog.New(o)
	const lines = 5000
	for range lines {
		log.Warn().Str("event", "x").Send()
	}
	if got, want := o.dropped.Load(), uint64(lines-lineQueue-2); got < want {
		t.Errorf("got %d lines left out, want at least %d", got, want)
	}
}

// TestOutputLeavesOutSuccessesFirst uses up half of the burst: ordinary
// successes are left out, refusals are not.
func TestOutputLeavesOutSuccessesFirst(t *testing.T) {
	o := &output{lines: make(chan []byte, lineQueue), limit: newLimiter()}
	for range linesBurst * 3 / 4 {
		o.limit.Allow()
	}
	log := zerolog.New(o)
	log.Debug().Str("event", "success").Send()
	if got := len(o.lines); got != 0 {
		t.Errorf("success: got %d lines, want none", got)
	}
	log.Info().Str("event", "refused").Send()
	if got := len(o.lines); got != 1 {
		t.Errorf("refusal: got %d lines, want 1", got)
	}
}
