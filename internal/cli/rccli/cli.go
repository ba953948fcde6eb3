// Package rccli is the operators' command line.
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
	Status   statusCommand   `cmd:"" help:"Print the short state of an instance."`
	Dump     dumpCommand     `cmd:"" help:"Print the whole state of an instance as JSON, without secrets."`
	Explain  explainCommand  `cmd:"" help:"Print where a request would go, and each term of the choice."`
	Drain    drainCommand    `cmd:"" help:"Make an instance refuse new work, finish what it has and stop."`
	Config   configCommand   `cmd:"" help:"Check, compare and commit the fleet's configuration."`
	Trace    traceCommand    `cmd:"" help:"Print the story of a request from the logs of all instances."`
	Settings settingsCommand `cmd:"" help:"Check a settings file of the users' platform and print what it says."`
	Load     loadCommand     `cmd:"" help:"Send a traffic shape to a running fleet and measure it."`
	Report   reportCommand   `cmd:"" help:"Write an HTML report of a load result, or compare two."`
	Soak     soakCommand     `cmd:"" help:"Play seeded faults against real instances on loopback and check the promises."`
	Demo     demoCommand     `cmd:"" help:"Run router instances and stand-ins of the platform and the upstreams in one process."`
}

// streams are what a command reads and writes.
type streams struct {
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
		kong.Bind(&streams{ctx: ctx, out: stdout, err: stderr}),
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

// oneLine joins the annotations of an error, which trace puts on lines of their own.
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
	Listen string        `default:"127.0.0.1:8080" help:"Address of the callers' listener, IP:PORT."`
	For    time.Duration `help:"Stop after this long, for instance 30s. Runs until interrupted by default."`
}

// Run implements the demo command.
func (c *demoCommand) Run(s *streams) error {
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	ctx := s.ctx
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	log := zerolog.New(s.err).With().Timestamp().Logger()
	return rcdemo.Run(ctx, rcdemo.Config{Listen: listen, Out: s.out, Log: log})
}
