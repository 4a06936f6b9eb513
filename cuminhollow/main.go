// Command cuminhollow is the operators' command line: it checks records before
// they are published and reads reports from nodes.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// exitFault is the exit status for bad input and for nodes out of reach.
const exitError = 2

// version is set by the build.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command(os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(exitError)
	}
}

func command(out io.Writer) *cli.Command {
	nodes := &cli.StringSliceFlag{
		Name:    "nodes",
		Usage:   "operators' `ADDRESS` of a node; may be repeated or separated by commas",
		Sources: cli.EnvVars("CUMINHOLLOW_NODES"),
	}
	times := cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}
	output := &cli.StringFlag{Name: "output", Value: outputTable, Usage: "`FORMAT` of the output: table or json"}
	report := func(name, usage, args string, action cli.ActionFunc) *cli.Command {
		return &cli.Command{
			Name:      name,
			Usage:     usage,
			ArgsUsage: args,
			Flags:     []cli.Flag{nodes, output},
			Action:    action,
		}
	}
	return &cli.Command{
		Name:                  "cuminhollow",
		Usage:                 "check records and read what the nodes report",
		Version:               version,
		Writer:                out,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "check record or roster files", ArgsUsage: "FILE...", Action: check},
			report("diff", "compare a record file with what is in force", "FILE", diff),
			report("status", "show the state of nodes", "", status),
			report("explain", "show which record of a kind is in force and what the nodes do with it", "KIND", explain),
			report("audit", "show which changes the nodes saw", "", audit),
			report("rollout", "show how many nodes hold which revision", "[KEY]", rollout),
			report("drain", "make nodes take no new work", "", drain),
			{
				Name: "trace", Usage: "tell from logs why a request ended as it did",
				ArgsUsage: "ID [FILE...]", Flags: []cli.Flag{output}, Action: traceRequest,
			},
			{
				Name: "why", Usage: "count refusals, failures and late answers in logs by their cause",
				ArgsUsage: "[FILE...]", Action: countCauses, Flags: []cli.Flag{
					output,
					&cli.TimestampFlag{Name: "from", Usage: "leave out what ended before `TIME`", Config: times},
					&cli.TimestampFlag{Name: "to", Usage: "leave out what ended at `TIME` or later", Config: times},
					&cli.StringFlag{Name: "plot", Usage: "draw the endings of each second into `FILE` (.svg or .png)"},
				},
			},
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				_, err := fmt.Fprintln(out, version)
				return err
			}},
		},
	}
}
