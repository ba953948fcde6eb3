// Package rcserve is the command line of a router instance.
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
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/node/rcdaemon"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
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
	NoticeDelay time.Duration `default:"2s" help:"How long a stopping instance stays up after it reports not ready, so that the balancer notices."`
	LogLevel    string        `default:"info" enum:"debug,info,warn,error" help:"Least level of log lines: debug, info, warn or error."`
}

// Main runs an instance until SIGINT or SIGTERM and returns the exit code. A
// second signal cuts running work.
func Main(args []string, stdout, stderr io.Writer) int {
	var f flags
	parser, err := kong.New(&f,
		kong.Name("radishcrankd"),
		kong.Description("Runs one router instance. SIGTERM stops it gracefully; a second one cuts running work."),
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
	level, err := zerolog.ParseLevel(f.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(stderr).Level(level).With().Timestamp().Str("Instance", string(boot.ID)).Logger()
	listeners, err := listen(boot)
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
	stop, abort := signals(log)
	return daemon.Run(stop, abort)
}

// listen opens all listeners, or none.
func listen(boot *rcconfig.BootSettings) (l rcdaemon.Listeners, err error) {
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	open := func(name string, addr netip.AddrPort) net.Listener {
		if err != nil {
			return nil
		}
		var opened net.Listener
		if opened, err = net.Listen("tcp", addr.String()); err != nil {
			err = trace.Wrap(err, "listener for %s", name)
			return nil
		}
		return opened
	}
	l.Callers = open("callers", boot.Callers)
	l.Operators = open("operators", boot.Operators)
	l.Peers = open("peers", boot.Peers)
	if err != nil {
		return l, err
	}
	// Settings may leave a port to the system.
	boot.Callers, boot.Operators, boot.Peers = address(l.Callers), address(l.Operators), address(l.Peers)
	return l, nil
}

func address(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

var errSecondSignal = errors.New("second signal")

// signals returns a context that the first signal ends and one that the second ends.
func signals(log zerolog.Logger) (stop, abort context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancelCause(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		log.Info().Str("Signal", (<-received).String()).Msg("stopping gracefully; a second signal cuts running work")
		cancelStop()
		log.Warn().Str("Signal", (<-received).String()).Msg("cutting running work")
		cancelAbort(errSecondSignal)
	}()
	return stop, abort
}
