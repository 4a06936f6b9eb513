// Command node is the sidecar daemon that does admission control, load
// balancing and retries for the upstream VM it runs beside.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cuminhollow.example/depot"
	"cuminhollow.example/platform"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

// exitError is the exit status for invalid arguments or settings and for a node
// that fails to start or run.
const exitError = 2

// version is the version of the program, set by the build.
var version = "dev"

// timeFormat is the format of log timestamps, with millisecond precision so
// that lines of several nodes can be compared.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(exitError)
	}
}

func command() *cli.Command {
	settings := &cli.StringFlag{
		Name:     "settings",
		Usage:    "settings `FILE` in YAML",
		Required: true,
	}
	return &cli.Command{
		Name:    "node",
		Usage:   "keep one VM of a service answering under overload",
		Version: version,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM, then stop gracefully", Flags: []cli.Flag{settings}, Action: run},
			{Name: "check-settings", Usage: "check a settings file and exit", Flags: []cli.Flag{settings}, Action: checkSettings},
		},
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	s, err := depot.LoadSettings(c.String("settings"))
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Printf("%s: settings of VM %s, service %s, are valid\n", c.String("settings"), s.VM(), s.Service())
	return nil
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := depot.LoadSettings(c.String("settings"))
	if err != nil {
		return trace.Wrap(err)
	}
	zerolog.TimeFieldFormat = timeFormat
	out := newAsyncWriter(os.Stdout)
	defer out.flush()
	log := zerolog.New(out).With().Timestamp().Logger()
	log.Info().Str("event", "start").Str("version", version).Str("vm", s.VM()).Str("service", s.Service()).Send()
	opts := []depot.Option{
		depot.WithLogger(log),
		depot.WithGauge("cuminhollow.log.dropped", "Lines left out of the log since the start.", "{line}", out.droppedTotal.Load),
	}
	if s.Adapter().Name == platform.Name {
		opts = append(opts, platform.Options(s, log)...)
	}
	n, err := depot.New(s, opts...)
	if err != nil {
		return trace.Wrap(err)
	}
	go watchSettings(ctx, c.String("settings"), n, log)
	if memory := s.Memory(); memory > 0 {
		setMemoryLimit(memory)
	}
	if percent := s.HeapGrowth(); percent > 0 {
		setHeapGrowth(percent)
	} else {
		go tuneCollector(ctx)
	}
	return trace.Wrap(n.Run(ctx))
}
