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

// settingsCheck is how often the settings file is looked at without a signal.
const settingsPollInterval = 2 * time.Second

// hangup receives SIGHUP from before the settings are read to the very end of
// the process: unhandled, the signal would end it in the middle of a planned
// stop.
var sighup = notifySighup()

func notifySighup() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// watchSettings takes over a settings file that has changed, after SIGHUP or
// without, until ctx ends. A file that cannot be used leaves the settings as
// they are.
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
