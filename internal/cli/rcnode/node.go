// Package rcnode implements the command line of a router instance on the users'
// platform.
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

// settingsPollInterval is the interval at which the settings file is reloaded without
// a SIGHUP.
const settingsPollInterval = 2 * time.Second

// Main runs an instance until it receives SIGTERM or SIGINT and returns the exit code.
func Main(stdout, stderr io.Writer) int {
	// Registered first, because an unhandled SIGHUP would terminate the process.
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
	zerolog.TimeFieldFormat = time.RFC3339Nano // Set before the first logger, which may write from another goroutine.
	logWriter := rclog.New(rclog.Config{Out: stdout, Instance: settings.Instance})
	defer logWriter.Close()
	log := zerolog.New(logWriter).With().Timestamp().Logger()
	logDiagnostics(path, log.With().Str("Instance", settings.Instance).Logger())
	instance := rcinstance.New(settings, log)
	go func() {
		for {
			select {
			case <-hangup:
			case <-time.After(settingsPollInterval): // The file may also change without a signal.
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

// logDiagnostics logs each value of the settings file that is rejected.
func logDiagnostics(path string, log zerolog.Logger) {
	text, err := os.ReadFile(path)
	if err != nil {
		log.Warn().Str("Event", "SettingRefused").Err(err).Send()
		return
	}
	_, diagnostics, err := platform.CheckSettings(string(text))
	if err != nil {
		log.Warn().Str("Event", "SettingRefused").Err(err).Send()
	}
	for _, d := range diagnostics {
		log.Warn().Str("Event", "SettingRefused").Str("Field", d.Field).Int("Line", d.Line).
			Str("Expected", d.Want).Str("UsedInstead", d.Fallback).Send()
	}
}
