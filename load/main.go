// Command load is an open-loop load generator. It runs experiments on a small
// deployment of real processes and reports the outcomes that callers see.
package main

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// exitError is the exit status for invalid input and failed experiments.
const exitError = 2

// defaultPolicy names the policy that runs nodes with their default settings.
// Experiments need not define it.
const defaultPolicy = "product"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(exitError)
	}
}

// command returns the command line interface.
func command() *cli.Command {
	bin := &cli.StringFlag{Name: "bin", Value: "bin", Usage: "`FOLDER` of the programs"}
	out := &cli.StringFlag{Name: "out", Usage: "`FOLDER` for the report in JSON and the plot in SVG"}
	policy := &cli.StringSliceFlag{Name: "policy", Value: []string{defaultPolicy}, Usage: "`NAME` of a policy of the experiment; may be repeated"}
	return &cli.Command{
		Name:  "load",
		Usage: "run experiments and compare their results",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run an experiment under each policy", ArgsUsage: "FILE", Flags: []cli.Flag{bin, out, policy}, Action: runExperimentFile},
			{Name: "compare", Usage: "show reports side by side", ArgsUsage: "REPORT...", Action: compare},
			{
				Name:  "capacity",
				Usage: "measure control work against fleet size and number of records",
				Flags: []cli.Flag{
					bin,
					&cli.IntSliceFlag{Name: "sizes", Value: []int{25, 50, 100, 200, 400}, Usage: "`NODES` of a fleet; may be repeated"},
					&cli.IntFlag{Name: "records", Value: 100, Usage: "`NUMBER` of records in fleets of each size"},
					&cli.IntSliceFlag{Name: "record-counts", Value: []int{100, 500, 1000, 2000}, Usage: "`NUMBER` of records; may be repeated"},
					&cli.IntFlag{Name: "record-fleet", Value: 24, Usage: "`NODES` of the fleets with each number of records"},
				},
				Action: capacity,
			},
			{Name: "demo", Usage: "run a small kiln deployment through a surge and a killed node", Flags: []cli.Flag{bin, out}, Action: demo},
		},
	}
}

// runExperimentFile runs the experiment of a file once under each chosen policy
// and compares the results if there are several.
func runExperimentFile(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return trace.BadParameter("run needs exactly one experiment file")
	}
	e, err := loadExperiment(c.Args().First())
	if err != nil {
		return trace.Wrap(err)
	}
	var reports []*Report
	for _, name := range c.StringSlice("policy") {
		if _, ok := e.Policies[name]; !ok && name != defaultPolicy {
			return trace.BadParameter("policy %q is not defined in the experiment", name)
		}
		r, err := runAndSave(ctx, c, e, name)
		if err != nil {
			return trace.Wrap(err)
		}
		reports = append(reports, r)
	}
	if len(reports) > 1 {
		return writeComparison(os.Stdout, reports)
	}
	return nil
}

// runAndSave runs an experiment under one policy and prints the report. It saves
// the report and its plot if an output folder is set.
func runAndSave(ctx context.Context, c *cli.Command, e *Experiment, policy string) (*Report, error) {
	r, err := runExperiment(ctx, c.String("bin"), e, policy, os.Stderr)
	if err != nil {
		return nil, err
	}
	if err := r.write(os.Stdout); err != nil {
		return nil, err
	}
	folder := c.String("out")
	if folder == "" {
		return r, nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	base := filepath.Join(folder, e.Name+"-"+policy)
	if err := r.save(base + ".json"); err != nil {
		return nil, err
	}
	return r, r.plot(base + ".svg")
}

// compare prints saved reports side by side, ordered by policy.
func compare(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return trace.BadParameter("compare needs at least two report files")
	}
	var reports []*Report
	for _, path := range c.Args().Slice() {
		r, err := loadReport(path)
		if err != nil {
			return trace.Wrap(err)
		}
		reports = append(reports, r)
	}
	slices.SortStableFunc(reports, compareByPolicy)
	return writeComparison(os.Stdout, reports)
}
