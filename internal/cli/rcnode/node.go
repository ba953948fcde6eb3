// Package rcnode is the command line of a router instance on the users' platform.
package rcnode

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/node/rcinstance"
	"github.com/radishcrank/radishcrank/internal/state/rclog"
	"github.com/radishcrank/radishcrank/platform"
)

// settingsInterval is how often the settings file is read without a signal.
const settingsInterval = 2 * time.Second

// Main runs an instance until SIGTERM and returns its exit code.
func Main(stdout, stderr io.Writer) int {
	// First of all, since a signal that nobody waits for ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	path := os.Getenv(platform.SettingsEnv)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(stderr, "radishcrankd:", err)
		return 1
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano // Before the first logger, which may write from another goroutine.
	lines := rclog.New(rclog.Config{Out: stdout, Instance: settings.Instance})
	defer lines.Close()
	log := zerolog.New(lines).With().Timestamp().Logger()
	logFaults(path, log.With().Str("Instance", settings.Instance).Logger())
	instance := rcinstance.New(settings, log)
	go func() {
		for {
			select {
			case <-hangup:
			case <-time.After(settingsInterval): // Files also change without a signal.
			case <-ctx.Done():
				return
			}
			instance.Reload(path)
		}
	}()
	if err := instance.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "radishcrankd:", err)
		return 1
	}
	return 0
}

// logFaults writes a line for each value of the settings file that is not used.
func logFaults(path string, log zerolog.Logger) {
	text, err := os.ReadFile(path)
	if err != nil {
		log.Warn().Str("Event", "SettingRefused").Err(err).Send()
		return
	}
	_, faults, err := platform.CheckSettings(string(text))
	if err != nil {
		log.Warn().Str("Event", "SettingRefused").Err(err).Send()
	}
	for _, f := range faults {
		log.Warn().Str("Event", "SettingRefused").Str("Field", f.Field).Int("Line", f.Line).
			Str("Expected", f.Want).Str("UsedInstead", f.Fallback).Send()
	}
}
