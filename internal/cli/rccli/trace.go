package rccli

import (
	"fmt"
	"io"
	"os"

	"github.com/radishcrank/radishcrank/internal/cli/rctrace"
	"github.com/radishcrank/radishcrank/platform"
)

type traceCommand struct {
	ID    string   `arg:"" help:"Request, upstream, instance or configuration version."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Log files of the instances; standard input if there are none."`
}

// Run implements the trace command.
func (c *traceCommand) Run(s *streams) (err error) {
	inputs := []io.Reader{os.Stdin}
	if len(c.Files) > 0 {
		inputs = nil
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		inputs = append(inputs, f)
	}
	return rctrace.Print(s.out, c.ID, inputs...)
}

type settingsCommand struct {
	File string `arg:"" type:"existingfile" help:"Settings file of the users' platform."`
}

// Run implements the settings command.
func (c *settingsCommand) Run(s *streams) error {
	settings, err := platform.LoadSettings(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: no faults\ninstance %s in %s: callers %s, ready %s, peers %s, metrics %s, store %s\n",
		c.File, settings.Instance, settings.Zone, settings.Callers, settings.Ready, settings.Peer, settings.Metrics, settings.Store)
	return err
}
