package main

import (
	"context"
	_ "embed" // for demoExperiment
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

//go:embed experiments/demo.yaml
var demoExperiment []byte

// demo runs the embedded experiment. It fails if non-idempotent work ran twice
// or an answer belonged to another request.
func demo(ctx context.Context, c *cli.Command) error {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "demo.yaml")
	if err := os.WriteFile(path, demoExperiment, 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	e, err := loadExperiment(path)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Printf("%d VMs of %d services in %d regions; %.0f s of load\n",
		len(e.Services)*e.Services[0].VMs, len(e.Services), len(e.Regions), e.length().Seconds())
	r, err := runAndSave(ctx, c, e, defaultPolicy)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Duplicated > 0 || r.MixedUp > 0 {
		return trace.BadParameter("demo failed: %d requests ran more than once, %d answers belonged to another request", r.Duplicated, r.MixedUp)
	}
	return nil
}
