// Command soak plays seeded schedules of faults against a small deployment of real
// processes, and checks what callers were told against what the upstreams ran.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// The exit statuses besides 0.
const (
	exitFinding = 1
	exitError   = 2
)

// The defaults of the flags nodes and length.
const (
	defaultNodes  = 4
	defaultLength = 12 * time.Second
)

// maxParallel is the most seeds played at once.
const maxParallel = 8

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command(os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(exitError)
	}
}

func command(out io.Writer) *cli.Command {
	folders := []cli.Flag{
		&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`FOLDER` of the programs"},
		&cli.StringFlag{Name: "out", Value: filepath.Join("out", "soak"), Usage: "`FOLDER` for reports, and for the logs of seeds that broke a rule"},
	}
	many := []cli.Flag{
		&cli.StringFlag{Name: "seeds", Value: "1..10", Usage: "`FIRST..LAST` seed"},
		&cli.IntFlag{Name: "parallel", Value: 1, Usage: "`NUMBER` of seeds to play at once"},
	}
	flags := append([]cli.Flag{
		&cli.IntFlag{Name: "nodes", Value: defaultNodes, Usage: "`NUMBER` of nodes of each of the three services"},
		&cli.DurationFlag{Name: "length", Value: defaultLength, Usage: "`TIME` in which faults begin"},
	}, folders...)
	return &cli.Command{
		Name:   "soak",
		Usage:  "play seeded faults against real processes",
		Writer: out,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "play seeds and print a line for each", Action: runSeeds,
				Flags: append(many, flags...),
			},
			{
				Name: "store", Usage: "play returns of the platform's store from an older copy", Action: runStoreSeeds,
				Flags: append(many, folders...),
			},
			{Name: "replay", Usage: "play one seed again", ArgsUsage: "SEED", Action: replaySeed, Flags: flags},
			{Name: "schedule", Usage: "print the faults of a seed", ArgsUsage: "SEED", Action: printSchedule, Flags: flags},
		},
	}
}

// parseSeeds parses FIRST..LAST.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, _ := strings.Cut(text, "..")
	if first, err = strconv.ParseUint(from, 10, 64); err == nil {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil || last < first {
		return 0, 0, trace.BadParameter("seeds %q: want FIRST..LAST, such as 1..50", text)
	}
	return first, last, nil
}

// seedPlayer plays a seed and returns a line about it.
type seedPlayer func(ctx context.Context, c *cli.Command, seed uint64) (line string, findings int, err error)

func runSeeds(ctx context.Context, c *cli.Command) error {
	if err := checkDeployment(c); err != nil {
		return err
	}
	return playRange(ctx, c, playSeed)
}

func runStoreSeeds(ctx context.Context, c *cli.Command) error { return playRange(ctx, c, storeSeed) }

// checkDeployment checks the flags of the deployment.
func checkDeployment(c *cli.Command) error {
	if c.Int("nodes") < 1 || c.Duration("length") <= 0 {
		return trace.BadParameter("nodes and length must be positive")
	}
	return nil
}

// playRange plays the seeds of the flags.
func playRange(ctx context.Context, c *cli.Command, player seedPlayer) error {
	first, last, err := parseSeeds(c.String("seeds"))
	if err != nil {
		return err
	}
	parallel := c.Int("parallel")
	if parallel < 1 || parallel > maxParallel {
		return trace.BadParameter("parallel %d: want 1 to %d", parallel, maxParallel)
	}
	var seeds []uint64
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return playSeeds(ctx, c, seeds, parallel, player)
}

func replaySeed(ctx context.Context, c *cli.Command) error {
	seed, err := seedArgument(c)
	if err != nil {
		return err
	}
	if err := checkDeployment(c); err != nil {
		return err
	}
	return playSeeds(ctx, c, []uint64{seed}, 1, playSeed)
}

func seedArgument(c *cli.Command) (uint64, error) {
	seed, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil {
		return 0, trace.BadParameter("seed %q: want a number", c.Args().First())
	}
	return seed, nil
}

func printSchedule(_ context.Context, c *cli.Command) error {
	seed, err := seedArgument(c)
	if err != nil {
		return err
	}
	for _, e := range newSchedule(seed, 3*c.Int("nodes"), c.Duration("length")) {
		if _, err := fmt.Fprintf(c.Root().Writer, "%8s  %-14s vm %2d  for %s\n", e.At.Round(time.Millisecond), e.Kind, e.VM, e.Span.Round(time.Millisecond)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// playSeeds plays seeds and prints a line for each. The exit status is 1 if a rule
// was broken.
func playSeeds(ctx context.Context, c *cli.Command, seeds []uint64, parallel int, player seedPlayer) error {
	next := make(chan uint64)
	var workers sync.WaitGroup
	var mu sync.Mutex
	broken, failed := 0, 0
	for range parallel {
		workers.Go(func() {
			for seed := range next {
				line, findings, err := player(ctx, c, seed)
				mu.Lock()
				_, _ = fmt.Fprintln(c.Root().Writer, line)
				broken += min(findings, 1)
				if err != nil {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for _, seed := range seeds {
		select {
		case next <- seed:
		case <-ctx.Done():
		}
	}
	close(next)
	workers.Wait()
	_, _ = fmt.Fprintf(c.Root().Writer, "%d seeds: %d broke a rule, %d could not be played\n", len(seeds), broken, failed)
	switch {
	case ctx.Err() != nil:
		return trace.Wrap(ctx.Err(), "interrupted")
	case failed > 0:
		return cli.Exit("", exitError)
	case broken > 0:
		return cli.Exit("", exitFinding)
	}
	return nil
}

// playSeed plays a seed and returns a line about it. Logs are kept if a rule was
// broken or the seed could not be played.
func playSeed(ctx context.Context, c *cli.Command, seed uint64) (line string, findings int, err error) {
	dir := filepath.Join(c.String("out"), fmt.Sprintf("seed-%d", seed))
	logs := filepath.Join(dir, "logs")
	if err := os.RemoveAll(dir); err != nil {
		return err.Error(), 0, err
	}
	if err := os.MkdirAll(logs, 0o750); err != nil {
		return err.Error(), 0, err
	}
	r, err := play(ctx, seed, options{bin: c.String("bin"), dir: logs, vmsPerService: c.Int("nodes"), length: c.Duration("length")})
	if err != nil {
		return fmt.Sprintf("seed %d: could not be played: %v", seed, err), 0, err
	}
	if err := r.save(dir); err != nil {
		return err.Error(), 0, err
	}
	if len(r.Findings) == 0 {
		return fmt.Sprintf("seed %d: %d faults, %v", seed, len(r.Schedule), r.Requests), 0, os.RemoveAll(logs)
	}
	return fmt.Sprintf("seed %d: %d faults, %v, BROKEN %v: %v", seed, len(r.Schedule), r.Requests, r.rules(), r.Findings[0]), len(r.Findings), nil
}
