package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"cuminhollow.example/platform/drill"
)

// storeSeed plays a seed of returns of the platform's store from an older copy, and
// returns a line about it. Logs are kept if a rule was broken or the seed could not be
// played.
func storeSeed(ctx context.Context, c *cli.Command, seed uint64) (line string, findings int, err error) {
	dir := filepath.Join(c.String("out"), fmt.Sprintf("store-%d", seed))
	logs := filepath.Join(dir, "logs")
	if err := os.RemoveAll(dir); err != nil {
		return err.Error(), 0, err
	}
	if err := os.MkdirAll(logs, 0o750); err != nil {
		return err.Error(), 0, err
	}
	r, err := drill.Play(ctx, seed, c.String("bin"), logs)
	if err != nil {
		return fmt.Sprintf("seed %d: could not be played: %v", seed, err), 0, err
	}
	if err := r.Save(dir); err != nil {
		return err.Error(), 0, err
	}
	if len(r.Findings) == 0 {
		return r.String(), 0, os.RemoveAll(logs)
	}
	return r.String(), len(r.Findings), nil
}
