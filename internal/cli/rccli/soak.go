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
	Seed      uint64        `help:"Seed of the fault schedule." default:"1"`
	For       time.Duration `help:"Duration of the fault schedule. Recovery checks follow it." default:"20s"`
	Instances int           `help:"Number of instances, at most 200. With more than 12, relays are used." default:"3"`
	Schedule  int           `help:"Version of the schedule: 0 is the newest, 1 the first, 2 has no restores of the store and slow engines, 2 and 3 have no upstreams in need, 4 no broken-off answers, 5 no crashing prompt parts, 6 no upstreams that announce that they leave or pause; 7 has what 3 has, rate limits of accounts, upstreams with different speeds and limited memory, and slow readers." default:"0" enum:"0,1,2,3,4,5,6,7"`
	StoreAge  time.Duration `help:"Age of the store's clock at the start of schedule 7." default:"1h"`
	Program   string        `help:"Instance program; by default, radishcrankd in the directory of this program." type:"path"`
	Dir       string        `help:"Directory for settings and logs; by default, a temporary one that is kept if a guarantee is violated." type:"path"`
}

// Run implements the soak command.
func (c *soakCommand) Run(env *commandEnv) (err error) {
	if c.Program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = filepath.Join(filepath.Dir(executable), "radishcrankd")
	}
	temporary := c.Dir == ""
	if temporary {
		if c.Dir, err = os.MkdirTemp("", "radishcrank-soak-"); err != nil {
			return err
		}
	}
	report, err := rcsoak.Run(env.ctx, rcsoak.Config{
		Seed: c.Seed, Duration: c.For, Instances: c.Instances, Schedule: rcsoak.ScheduleVersion(c.Schedule), StoreAge: c.StoreAge, Program: []string{c.Program, "platform"}, Dir: c.Dir, Out: env.out,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.out, "%d requests sent, %d answered\n", report.Sent, report.Answered)
	counts := make([]string, 0, len(report.Actions))
	for kind, n := range report.Actions {
		counts = append(counts, fmt.Sprintf("%s: %d", kind, n))
	}
	slices.Sort(counts)
	for _, count := range counts {
		fmt.Fprintln(env.out, count)
	}
	if len(report.Violations) > 0 {
		return trace.CompareFailed("seed %d violated a guarantee, logs in %s; first violation: %s", c.Seed, c.Dir, report.Violations[0])
	}
	if temporary {
		return os.RemoveAll(c.Dir)
	}
	return nil
}
