// Command platform is a fake configuration service for tests and the demo: a
// versioned key-value store over HTTP whose documents can be listed, read and
// watched.
//
// Tests publish documents and inject faults through the paths below /admin. Nodes
// never call those.
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
		Usage: "serve documents from a folder in place of the configuration service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000", Usage: "`ADDRESS` to listen on"},
			&cli.StringFlag{Name: "folder", Usage: "`FOLDER` with records/*.yaml and vms/*.yaml to publish at startup"},
			&cli.IntFlag{Name: "rate", Value: defaultReadRate, Usage: "reads answered per `SECOND`"},
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
