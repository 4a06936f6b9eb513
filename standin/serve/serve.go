// Package serve runs the HTTP server of a stand-in.
//
// Use Main in the main function of a stand-in and HTTP in its action.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// Main runs a command until it ends or the process is asked to stop, and exits
// with status 1 when it fails.
func Main(c *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

// HTTP serves h at address until ctx ends.
func HTTP(ctx context.Context, address string, h http.Handler) error {
	server := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
