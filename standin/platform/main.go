// Command platform stands in for the configuration service in tests and in the
// demo: it publishes documents that can be read and watched.
//
// Its publishing and fault paths below /admin are for tests only; no node
// calls them.
package main

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"cuminhollow.example/standin/serve"
)

func main() { serve.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve documents from a folder as the configuration service would",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000", Usage: "`ADDRESS` to listen on"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` with records/*.yaml and vms/*.yaml to publish at the start"},
			&cli.IntFlag{Name: "rate", Value: defaultReadRate, Usage: "reads a `SECOND` that are answered"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s := newStore(c.Int("rate"))
	if folder := c.String("folder"); folder != "" {
		if err := s.load(folder); err != nil {
			return trace.Wrap(err, "reading %s", folder)
		}
	}
	return serve.HTTP(ctx, c.String("listen"), s.handler())
}
