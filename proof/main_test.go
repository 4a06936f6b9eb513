// Package proof holds fault-injection tests on real processes. Each test runs a
// small deployment, makes a part of it fail, and compares the responses to the
// callers with the runs that the upstreams counted.
package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir is the folder with the binaries under test.
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
