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
