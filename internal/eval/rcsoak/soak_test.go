package rcsoak

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/cli/rcnode"
)

// instanceEnv makes the test binary an instance, so that the soak plays real processes.
const instanceEnv = "RADISHCRANK_SOAK_INSTANCE"

func TestMain(m *testing.M) {
	if os.Getenv(instanceEnv) != "" {
		os.Exit(rcnode.Main(os.Stdout, os.Stderr))
	}
	os.Setenv(instanceEnv, "1") // For the processes that the tests start.
	os.Exit(m.Run())
}

// runs are the seeds that CI plays: a short one, and each that ever failed.
var runs = []struct {
	seed   uint64
	length time.Duration
	plain  bool
	cause  string // Of the failure.
}{
	{seed: 20261204, length: 8 * time.Second},
	{seed: 1, length: 20 * time.Second, cause: "before its fix: an instance used older weights past their bound, counted from its start"},
	{seed: 5, length: 20 * time.Second, cause: "the soak stood still on a machine with too much to do, and took its silence for the instances'"},
	{seed: 102, length: 20 * time.Second, cause: "two soaks chose the same port, since neither held it while its instance restarted"},
	{seed: 103, length: 20 * time.Second, cause: "as 5"},
	{seed: 105, length: 20 * time.Second, cause: "as 102, and as 5 while engines were to load weights"},
	{seed: 110, length: 20 * time.Second, cause: "the soak wrote settings in place, and an instance that started read half of them"},
	{seed: 111, length: 15 * time.Second, plain: true, cause: "SIGHUP during a start ended the process, which handled it only after it had read its settings"},
	{seed: 122, length: 15 * time.Second, plain: true, cause: "the soak took a route that a newer configuration had dropped for one of an older configuration"},
	{seed: 133, length: 15 * time.Second, plain: true, cause: "the stand-in of an engine did not renew its entry after a load, so that instances that started later had only refusals from it"},
	{seed: 142, length: 15 * time.Second, plain: true, cause: "as 122"},
}

// TestSoak guards against promises that break under planned work and faults.
func TestSoak(t *testing.T) {
	for _, r := range runs {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Config{Seed: r.seed, Duration: r.length, Plain: r.plain, Program: []string{os.Args[0]}, Dir: t.TempDir(), Out: t.Output()})
			require.NoError(t, err)
			require.Empty(t, report.Violations, r.cause)
			require.Greater(t, report.Answered, report.Sent/3)
		})
	}
}

// TestScheduleFollowsSeed guards against runs that can't be repeated.
func TestScheduleFollowsSeed(t *testing.T) {
	cfg := func(seed uint64) Config {
		return Config{Seed: seed, Duration: 3 * time.Minute, Instances: DefaultInstances}
	}
	require.Equal(t, newSchedule(cfg(7)), newSchedule(cfg(7)))
	require.NotEqual(t, newSchedule(cfg(7)), newSchedule(cfg(8)))
	plain, all := map[kind]bool{}, map[kind]bool{}
	collect := func(seen map[kind]bool, schedule []action) {
		for _, a := range schedule {
			require.True(t, a.planned() || a.at > 72*time.Second, a)
			seen[a.kind] = true
		}
	}
	collect(plain, newSchedule(Config{Seed: 7, Duration: 3 * time.Minute, Plain: true}))
	require.Len(t, plain, len(plainPlannedKinds)+len(plainFaultKinds))
	for seed := range uint64(20) {
		collect(all, newSchedule(cfg(seed)))
	}
	require.Len(t, all, len(plannedKinds)+len(faultKinds))
}
