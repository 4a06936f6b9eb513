// Command cuminhollow is the command-line client for operators. It validates
// records before they are published, queries nodes and analyses their logs.
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

// exitError is the exit status for every error, such as invalid input or
// unreachable nodes.
const exitError = 2

// version is the version of the program, set by the build.
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
		Usage:   "`ADDRESS` of a node's operators' port; may be repeated or separated by commas",
		Sources: cli.EnvVars("CUMINHOLLOW_NODES"),
	}
	timestamps := cli.TimestampConfig{Layouts: []string{time.RFC3339Nano}}
	output := &cli.StringFlag{Name: "output", Value: outputTable, Usage: "`FORMAT` of the output: table or json"}
	token := &cli.StringFlag{
		Name: tokenFlag, Usage: "`FILE` with the token that the nodes are set to ask for",
		Sources: cli.EnvVars("CUMINHOLLOW_TOKEN_FILE"),
	}
	reportCommand := func(name, usage, args string, action cli.ActionFunc) *cli.Command {
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
		Usage:                 "check records, query nodes and analyse their logs",
		Version:               version,
		Writer:                out,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Commands: []*cli.Command{
			{Name: "check", Usage: "check record or roster files", ArgsUsage: "FILE...", Action: check},
			reportCommand("diff", "compare a record file with the record in force", "FILE", diff),
			reportCommand("status", "show the state of nodes", "", status),
			reportCommand("explain", "show which record of a kind is in force and what the nodes do with it", "KIND", explain),
			reportCommand("audit", "show which changes the nodes saw", "", audit),
			reportCommand("rollout", "show how many nodes hold which revision", "[KEY]", rollout),
			{
				Name: "drain", Usage: "make nodes stop accepting new work", Action: drain,
				Flags: []cli.Flag{nodes, output, token},
			},
			{
				Name: "trace", Usage: "explain from logs why a request ended as it did",
				ArgsUsage: "ID [FILE...]", Flags: []cli.Flag{output}, Action: traceRequest,
			},
			{
				Name: "why", Usage: "count refusals, failures and late answers in logs by their cause",
				ArgsUsage: "[FILE...]", Action: countCauses, Flags: []cli.Flag{
					output,
					&cli.TimestampFlag{Name: "from", Usage: "ignore requests that ended before `TIME`", Config: timestamps},
					&cli.TimestampFlag{Name: "to", Usage: "ignore requests that ended at `TIME` or later", Config: timestamps},
					&cli.StringFlag{Name: "plot", Usage: "plot the number of requests per second by result into `FILE` (.svg or .png)"},
				},
			},
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				_, err := fmt.Fprintln(out, version)
				return err
			}},
		},
	}
}
