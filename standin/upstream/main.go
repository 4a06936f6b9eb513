// Command upstream is a fake upstream for tests and the demo: it runs a limited
// number of calls concurrently, takes a configurable time for each, makes nested
// calls through its node, and counts the runs of each piece of work.
package main

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"cuminhollow.example/standin/serve"
)

func main() { serve.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "answer calls in place of one VM of a service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8000", Usage: "`ADDRESS` to listen on"},
			&cli.StringFlag{Name: "node", Usage: "`ADDRESS` at which the node takes nested calls"},
			&cli.IntFlag{Name: "slots", Value: 70, Usage: "number of calls that run concurrently"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "mean run time of a call"},
			&cli.StringSliceFlag{Name: "onward", Usage: "`KIND` of a nested call that each call makes; may be repeated"},
			&cli.Float64Flag{Name: "loss", Usage: "fraction of calls, from 0 to 1, whose connection is closed after the run and before the response"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return trace.Wrap(err)
	}
	u := newUpstream(c)
	return serve.Listener(ctx, &lateListener{Listener: l, share: u.copies.Load}, u.handler())
}
