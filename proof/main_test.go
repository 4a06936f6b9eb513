// Package proof holds the failure tests on real processes: each runs a small
// deployment, breaks a part of it, and compares what callers were told with
// what the upstreams logged.
package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// bin is the folder of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	code, err := run(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func run(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for _, program := range []string{"node", "standin/platform", "standin/upstream"} {
		out := filepath.Join(dir, filepath.Base(program))
		args := []string{"build", "-o", out}
		if raceEnabled {
			args = append(args, "-race")
		}
		cmd := exec.Command("go", append(args, "./"+program)...)
		cmd.Dir = ".."
		if text, err := cmd.CombinedOutput(); err != nil {
			return 0, fmt.Errorf("build %s: %w: %s", program, err, text)
		}
	}
	return m.Run(), nil
}
