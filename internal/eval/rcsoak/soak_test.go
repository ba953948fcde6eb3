package rcsoak

import (
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
	os.Exit(m.Run())
}

// regressions are seeds that failed once, with what caused it.
var regressions = map[uint64]string{}

// TestSoak plays a short run of one seed, and of each seed that ever failed.
func TestSoak(t *testing.T) {
	t.Setenv(instanceEnv, "1")
	seeds := []uint64{20261204}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Config{Seed: seed, Length: 8 * time.Second, Program: []string{os.Args[0]}, Dir: t.TempDir(), Out: t.Output()})
		require.NoError(t, err)
		require.Empty(t, report.Broken, "seed %d %s", seed, regressions[seed])
		require.Greater(t, report.Answered, report.Sent/3)
	}
}

// TestScheduleFollowsSeed guards against runs that can't be repeated.
func TestScheduleFollowsSeed(t *testing.T) {
	require.Equal(t, newSchedule(7, time.Minute), newSchedule(7, time.Minute))
	require.NotEqual(t, newSchedule(7, time.Minute), newSchedule(8, time.Minute))
	seen := map[kind]bool{}
	for _, a := range newSchedule(7, 3*time.Minute) {
		require.True(t, a.planned() || a.at > 72*time.Second)
		seen[a.kind] = true
	}
	require.Len(t, seen, len(plannedKinds)+len(faultKinds))
}
