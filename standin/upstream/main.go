// Command upstream stands in for a service's VM in tests and in the demo: it
// has slots, takes time, calls other services through its node, and keeps a
// log of what it ran.
package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"cuminhollow.example/standin/serve"
)

func main() { serve.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "answer calls as one VM of a service would",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8000", Usage: "`ADDRESS` to listen on"},
			&cli.StringFlag{Name: "node", Usage: "`ADDRESS` of the node's port for onward calls"},
			&cli.IntFlag{Name: "slots", Value: 70, Usage: "calls that run at a time"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "mean time of a call"},
			&cli.StringSliceFlag{Name: "onward", Usage: "`KIND` of an onward call that each call makes; may be repeated"},
			&cli.Float64Flag{Name: "loss", Usage: "share of calls whose connection is cut after they ran"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	return serve.HTTP(ctx, c.String("listen"), newUpstream(c).handler())
}
