package rccli

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/eval/rcsoak"
)

type soakCommand struct {
	Seed      uint64        `help:"Seed of the schedule." default:"1"`
	For       time.Duration `help:"Length of the schedule; checks of the recovery follow." default:"20s"`
	Instances int           `help:"Number of instances, at most 200. Beyond 12 they have relays." default:"3"`
	Plain     bool          `help:"Play the schedule of the first version of the soak."`
	Program   string        `help:"Instance to play; by default radishcrankd beside this program." type:"path"`
	Dir       string        `help:"Directory for settings and logs; by default a temporary one, which is kept if a promise breaks." type:"path"`
}

// Run implements the soak command.
func (c *soakCommand) Run(s *streams) (err error) {
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = filepath.Join(filepath.Dir(self), "radishcrankd")
	}
	temporary := c.Dir == ""
	if temporary {
		if c.Dir, err = os.MkdirTemp("", "radishcrank-soak-"); err != nil {
			return err
		}
	}
	report, err := rcsoak.Run(s.ctx, rcsoak.Config{
		Seed: c.Seed, Duration: c.For, Instances: c.Instances, Plain: c.Plain, Program: []string{c.Program, "platform"}, Dir: c.Dir, Out: s.out,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%d requests sent, %d answered\n", report.Sent, report.Answered)
	kinds := make([]string, 0, len(report.Actions))
	for k, n := range report.Actions {
		kinds = append(kinds, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		fmt.Fprintln(s.out, k)
	}
	if len(report.Violations) > 0 {
		return trace.CompareFailed("seed %d broke a promise, logs in %s; the first: %s", c.Seed, c.Dir, report.Violations[0])
	}
	if temporary {
		return os.RemoveAll(c.Dir)
	}
	return nil
}
