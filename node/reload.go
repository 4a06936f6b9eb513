package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cuminhollow.example/depot"
	"github.com/rs/zerolog"
)

// settingsPollInterval is the interval between checks of the settings file. A
// change is applied without a signal.
const settingsPollInterval = 2 * time.Second

// sighup receives SIGHUP. It is registered before the settings are read and
// stays registered until the process ends, because an unhandled SIGHUP would
// kill the process, even during a graceful stop.
var sighup = notifySighup()

func notifySighup() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// watchSettings checks the settings file at SIGHUP and periodically, and reloads
// it if it has changed, until ctx ends. An unreadable or invalid file leaves the
// settings unchanged.
func watchSettings(ctx context.Context, path string, n *depot.Node, log zerolog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn().Str("event", "settings-unreadable").Str("file", path).Err(err).Send()
	}
	for {
		cause := "change"
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			cause = "signal"
		case <-ticker.C:
		}
		body, err := os.ReadFile(path)
		if err != nil {
			log.Warn().Str("event", "settings-unreadable").Str("file", path).Err(err).Send()
			continue
		}
		if bytes.Equal(body, last) {
			if cause == "signal" {
				log.Info().Str("event", "settings-unchanged").Str("cause", cause).Send()
			}
			continue
		}
		last = body
		s, err := depot.ParseSettings(path, body)
		if err != nil {
			log.Error().Str("event", "settings-refused").Str("cause", cause).Err(err).Send()
			continue
		}
		n.Reload(s, cause)
	}
}
