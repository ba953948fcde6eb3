// Package rcserve implements the command line of a router instance with a
// boot settings file.
package rcserve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/node/rcdaemon"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Exit codes of the command.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

type flags struct {
	Settings    string        `required:"" type:"existingfile" help:"INI file with the boot settings of the instance, for instance examples/riga/boot.ini."`
	Check       bool          `help:"Check the settings and exit."`
	NoticeDelay time.Duration `default:"2s" help:"Time between reporting not ready and stopping, so that the load balancer can remove the instance."`
	LogLevel    string        `default:"info" enum:"debug,info,warn,error" help:"Minimum level of log lines: debug, info, warn or error."`
}

// Main runs an instance until it receives SIGINT or SIGTERM and returns the exit code.
// A second signal aborts running requests.
func Main(args []string, stdout, stderr io.Writer) int {
	var f flags
	parser, err := kong.New(&f,
		kong.Name("radishcrankd"),
		kong.Description("Runs one router instance. SIGTERM stops it gracefully; a second one aborts running requests."),
		kong.Writers(stdout, stderr),
	)
	if err != nil {
		fmt.Fprintln(stderr, "radishcrankd:", err)
		return ExitError
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(stderr, "radishcrankd:", err)
		return ExitUsage
	}
	if err := f.run(stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "radishcrankd:", trace.UserMessage(err))
		return ExitError
	}
	return ExitOK
}

func (f *flags) run(stdout, stderr io.Writer) error {
	text, err := os.ReadFile(f.Settings)
	if err != nil {
		return err
	}
	boot, err := rcconfig.ParseBootSettings(text)
	if err != nil {
		return fmt.Errorf("%s: %w", f.Settings, err)
	}
	if f.Check {
		fmt.Fprintf(stdout, "%s: no faults\n", f.Settings)
		return nil
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(rcdaemon.SoftMemoryBytes)
	}
	level, err := zerolog.ParseLevel(f.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(stderr).Level(level).With().Timestamp().Str("Instance", string(boot.ID)).Logger()
	listeners, err := openListeners(boot)
	if err != nil {
		return err
	}
	daemon, err := rcdaemon.New(rcdaemon.Config{
		BootSettings:   boot,
		Listeners:      listeners,
		Table:          rcplatform.NewTableClient(rcplatform.Config{Addr: boot.Table}),
		Objects:        rcplatform.NewObjectStoreClient(rcplatform.Config{Addr: boot.Objects}),
		InstanceLister: rcplatform.NewInstanceListClient(rcplatform.Config{Addr: boot.Instances}),
		NoticeDelay:    f.NoticeDelay,
		Log:            log,
	})
	if err != nil {
		return err
	}
	stop, abort := signalContexts(log)
	return daemon.Run(stop, abort)
}

// openListeners opens all listeners. If one fails, it closes the others. It stores the
// actual addresses in boot.
func openListeners(boot *rcconfig.BootSettings) (l rcdaemon.Listeners, err error) {
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	open := func(name string, addr netip.AddrPort, listen func(addr string) (net.Listener, error)) net.Listener {
		if err != nil {
			return nil
		}
		var listener net.Listener
		if listener, err = listen(addr.String()); err != nil {
			err = trace.Wrap(err, "opening the listener for %s", name)
			return nil
		}
		return listener
	}
	l.Callers = open("callers", boot.Callers, rcguard.Open)
	l.Operators = open("operators", boot.Operators, rcguard.Open)
	l.Peers = open("peers", boot.Peers, func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return l, err
	}
	// The settings may specify port 0, for which the operating system chooses a port.
	boot.Callers, boot.Operators, boot.Peers = listenerAddr(l.Callers), listenerAddr(l.Operators), listenerAddr(l.Peers)
	return l, nil
}

func listenerAddr(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

var errSecondSignal = errors.New("second signal")

// signalContexts returns a context that the first signal cancels and one that the second
// signal cancels.
func signalContexts(log zerolog.Logger) (stop, abort context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancelCause(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		log.Info().Str("Signal", (<-received).String()).Msg("stopping gracefully; a second signal cuts running work")
		cancelStop()
		log.Warn().Str("Signal", (<-received).String()).Msg("aborting running requests")
		cancelAbort(errSecondSignal)
	}()
	return stop, abort
}
