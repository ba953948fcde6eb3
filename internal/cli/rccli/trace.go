package rccli

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/radishcrank/radishcrank/internal/cli/rctrace"
	"github.com/radishcrank/radishcrank/platform"
)

type traceCommand struct {
	ID      traceIDCommand      `cmd:"" name:"id" default:"withargs" help:"Print the log lines that mention a request, upstream, instance or configuration version, ordered by time."`
	Summary traceSummaryCommand `cmd:"" help:"Group failed requests and attempts by cause, availability zones, upstream and second."`
}

type traceIDCommand struct {
	ID     string        `arg:"" help:"Request, upstream, instance or configuration version."`
	Files  []string      `arg:"" optional:"" type:"existingfile" help:"Log files of the instances; by default, standard input."`
	Around time.Duration `help:"Also print the placements and failures of all instances on the upstreams of the request's service, from this time before the request to this time after it, for instance 500ms."`
}

// Run implements the trace id command.
func (c *traceIDCommand) Run(env *commandEnv) error {
	return withLogs(c.Files, func(inputs []io.Reader) error {
		if c.Around <= 0 {
			return rctrace.Print(env.out, c.ID, inputs...)
		}
		text, err := io.ReadAll(io.MultiReader(inputs...)) // Standard input can be read only once.
		if err != nil {
			return err
		}
		if err := rctrace.Print(env.out, c.ID, bytes.NewReader(text)); err != nil {
			return err
		}
		return rctrace.PrintUpstreamActivity(env.out, rctrace.UpstreamActivityConfig{Request: c.ID, Margin: c.Around}, bytes.NewReader(text))
	})
}

type traceSummaryCommand struct {
	Files []string  `arg:"" optional:"" type:"existingfile" help:"Log files of the instances; by default, standard input."`
	Top   int       `default:"10" help:"Maximum number of groups in each table."`
	From  time.Time `help:"Ignore lines before this time, in RFC 3339."`
	To    time.Time `help:"Ignore lines after this time, in RFC 3339."`
}

// Run implements the trace summary command.
func (c *traceSummaryCommand) Run(env *commandEnv) error {
	cfg := rctrace.SummaryConfig{Top: c.Top, From: c.From, To: c.To}
	return withLogs(c.Files, func(inputs []io.Reader) error { return rctrace.Summarize(env.out, cfg, inputs...) })
}

// withLogs calls f with the files, or with standard input if there are none.
func withLogs(names []string, f func([]io.Reader) error) error {
	inputs := []io.Reader{os.Stdin}
	if len(names) > 0 {
		inputs = nil
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		inputs = append(inputs, file)
	}
	return f(inputs)
}

type settingsCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file of the users' platform."`
}

// Run implements the settings command.
func (c *settingsCommand) Run(env *commandEnv) error {
	settings, err := platform.LoadSettings(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "%s: no faults\ninstance %s in %s: callers %s, ready %s, peers %s, metrics %s, store %s\n",
		c.File, settings.Instance, settings.Zone, settings.ClientAddr, settings.ReadinessAddr, settings.PeerAddr, settings.MetricsAddr, settings.StoreAddr)
	return err
}
