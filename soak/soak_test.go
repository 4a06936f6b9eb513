package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// regressionSeeds reads the seeds that once broke a rule, from lines "SEED cause".
func regressionSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var out []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, seed)
	}
	return out
}

// TestSeeds plays a few short seeds on a small deployment, those that once broke a
// rule among them.
func TestSeeds(t *testing.T) {
	bin := t.TempDir()
	for _, program := range []string{"node", "standin/platform", "standin/upstream"} {
		cmd := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(bin, filepath.Base(program)), "./"+program)
		cmd.Dir = ".."
		if text, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v: %s", program, err, text)
		}
	}
	small := options{bin: bin, vmsPerService: 2, length: 4 * time.Second}
	whole := options{bin: bin, vmsPerService: defaultNodes, length: defaultLength}
	plays := map[uint64]options{1: small, 2: small, 6: small, upstreamSeeds: small}
	for _, seed := range regressionSeeds(t) {
		plays[seed] = whole
	}
	for seed, o := range plays {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			o.dir = dir
			r, err := play(t.Context(), seed, o)
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Findings {
				if f.Rule == ruleRecover {
					// On a machine that is busy with other tests it says little.
					t.Logf("%s: %s", f.Rule, f.Detail)
					continue
				}
				t.Errorf("%s %s: %s", f.Rule, f.Subject, f.Detail)
			}
			if r.Requests["answered"] == 0 {
				t.Errorf("got %v, want some answered", r.Requests)
			}
			if err := r.save(dir); err != nil {
				t.Error(err)
			}
		})
	}
}
