// Package serve runs the command line and the HTTP server of the fake services
// that stand in for the platform and the upstreams in tests.
//
// Call Main from the main function and HTTP from the action of the command.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// headerTimeout limits the time for reading the header of a request.
const headerTimeout = 5 * time.Second

// Main runs c with the arguments of the process and cancels its context on
// SIGINT or SIGTERM. If c fails, Main prints the error and exits with status 1.
func Main(c *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

// HTTP serves h at address until ctx is done, then closes all connections and
// returns nil. It returns an error if the server cannot listen or fails.
func HTTP(ctx context.Context, address string, h http.Handler) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	return Listener(ctx, l, h)
}

// Listener is HTTP with a listener in place of an address.
func Listener(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
