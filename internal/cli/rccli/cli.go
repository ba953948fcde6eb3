// Package rccli implements radishcrank, the operators' command-line tool.
package rccli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/cli/rcdemo"
)

// Exit codes of the command.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

type commands struct {
	Status   statusCommand   `cmd:"" help:"Print a summary of an instance's state."`
	Dump     dumpCommand     `cmd:"" help:"Print the full state of an instance as JSON, without secrets."`
	Explain  explainCommand  `cmd:"" help:"Print the upstream that a request would be routed to, with the terms of each candidate's score."`
	Drain    drainCommand    `cmd:"" help:"Make an instance refuse new work, finish its running work and stop."`
	Config   configCommand   `cmd:"" help:"Check, compare, commit and show the fleet's configuration."`
	Trace    traceCommand    `cmd:"" help:"Search and summarize the logs of all instances."`
	Settings settingsCommand `cmd:"" help:"Check a settings file of the users' platform and print the addresses in it."`
	Load     loadCommand     `cmd:"" help:"Send traffic of a given shape to a running fleet and measure its latency and outcomes."`
	Report   reportCommand   `cmd:"" help:"Write an HTML report of a load test result, or a comparison of two."`
	Soak     soakCommand     `cmd:"" help:"Run instances on loopback, inject faults from a seeded schedule and check the guarantees."`
	Demo     demoCommand     `cmd:"" help:"Run router instances with simulated platform services and upstreams in one process."`
}

// commandEnv holds the context and the output streams of a command.
type commandEnv struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cmds commands
	parser, err := kong.New(&cmds,
		kong.Name("radishcrank"),
		kong.Description("Operates a fleet of radishcrankd instances."),
		kong.Writers(stdout, stderr),
		kong.Bind(&commandEnv{ctx: ctx, out: stdout, err: stderr}),
	)
	if err != nil {
		fmt.Fprintln(stderr, "radishcrank:", err)
		return ExitError
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "radishcrank:", err)
		return ExitUsage
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(stderr, "radishcrank:", oneLine(err))
		return ExitError
	}
	return ExitOK
}

// oneLine returns an error's text on one line. Package trace puts each annotation on a
// line of its own.
func oneLine(err error) string {
	var parts []string
	for line := range strings.Lines(err.Error()) {
		if part := strings.TrimSpace(line); part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

type demoCommand struct {
	Listen string        `default:"127.0.0.1:8080" help:"Address of the first instance's listener for callers, IP:PORT."`
	For    time.Duration `help:"Stop after this time, for instance 30s. By default, runs until interrupted."`
}

// Run implements the demo command.
func (c *demoCommand) Run(env *commandEnv) error {
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	ctx := env.ctx
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	log := zerolog.New(env.err).With().Timestamp().Logger()
	return rcdemo.Run(ctx, rcdemo.Config{Listen: listen, Out: env.out, Log: log})
}
