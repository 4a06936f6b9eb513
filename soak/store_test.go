package main

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"cuminhollow.example/platform/drill"
)

// TestStoreSeeds plays a few seeds of returns of the platform's store from an older copy.
func TestStoreSeeds(t *testing.T) {
	bin := t.TempDir()
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", filepath.Join(bin, "node"), "./node")
	cmd.Dir = ".."
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build node: %v: %s", err, text)
	}
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := drill.Play(t.Context(), seed, bin, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			for _, f := range r.Findings {
				t.Errorf("%s %s: %s", f.Rule, f.Subject, f.Detail)
			}
			if r.Requests["200"] == 0 {
				t.Errorf("got %v, want some answered", r.Requests)
			}
		})
	}
}
