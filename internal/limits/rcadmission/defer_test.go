package rcadmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLatePrioritiesYield guards against late exchanges that engines read before some that
// are in time, and against a route that loses its place among the late ones.
func TestLatePrioritiesYield(t *testing.T) {
	require.Equal(t, map[int]int{0: 3, 2: 4}, LatePriorities([]int{2, 0, 2}))
	require.Equal(t, map[int]int{0: 7, 2: 7, 4: 8, 6: 9}, LatePriorities([]int{0, 2, 4, 6}), "three free priorities for four")
	require.Empty(t, LatePriorities([]int{0, 9}))
	require.Empty(t, LatePriorities(nil))
}

// TestLate guards against a bound that is not the latency target, and against a prompt that is
// late at an idle engine because it takes long to read.
func TestLate(t *testing.T) {
	s := Start{LatencyTarget: 800 * time.Millisecond}
	require.False(t, s.Late())
	s.ExpectedWait = 700 * time.Millisecond
	require.False(t, s.Late())
	s.Elapsed = 100 * time.Millisecond
	require.False(t, s.Late())
	s.Elapsed = 101 * time.Millisecond
	require.True(t, s.Late())
	s.Elapsed, s.ExpectedWait, s.OwnPrefill = 0, 0, time.Hour
	require.False(t, s.Late())
	s.ExpectedWait = 560 * time.Millisecond
	require.False(t, s.Late())
	s.ExpectedWait = 561 * time.Millisecond
	require.True(t, s.Late())
	s.PaysFirst, s.OwnPrefill, s.ExpectedWait = true, 0, 401*time.Millisecond
	require.True(t, s.Late())
	s.ExpectedWait = 400 * time.Millisecond
	require.False(t, s.Late())
	s.Elapsed = 900 * time.Millisecond
	s.LatencyTarget = 0
	require.False(t, s.Late(), "no target")
}

// TestLateWorkYields replays a burst of 1.7 and 2.4 times the usual demand. It guards against
// a queue in which every exchange waits its turn, so that nearly all begin late.
func TestLateWorkYields(t *testing.T) {
	for _, instances := range []int{3, 12, 88} {
		for _, burst := range []float64{1.7, 2.4} {
			load := replayLoad{instances: instances, burst: burst}
			today, now := load.run(policy{}), load.run(complete)
			t.Logf("%d instances, %.1f times: today %v; deferring %v", instances, burst, today, now)
			require.Greater(t, now.inTime(), today.inTime())
			require.GreaterOrEqual(t, now.answered()*100, today.answered()*95, "answers are lost")
			now.requireFair(t)
		}
	}
}

// TestLowLoadIsAsToday guards against decisions that change where there is no shortage.
func TestLowLoadIsAsToday(t *testing.T) {
	load := replayLoad{instances: 12, burst: 1, usual: 0.5}
	today, now := load.run(policy{}), load.run(complete)
	require.Equal(t, today, now)
	require.Zero(t, now.deferred)
}
