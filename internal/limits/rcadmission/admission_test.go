package rcadmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRoomIsNotRefused guards against refusals while the caller would still be
// there when its exchange begins.
func TestRoomIsNotRefused(t *testing.T) {
	c := Params{ExpectedWait: 1800 * time.Millisecond, StartTimeout: 2400 * time.Millisecond}
	require.False(t, c.ShouldRefuse())
	c.ExpectedWait++
	require.True(t, c.ShouldRefuse())
}

// TestReturnsAreSpread guards against a wave of callers that were refused together
// and come back together, which is refused again.
func TestReturnsAreSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := Params{
			ExpectedWait:   time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(rt, "ahead")),
			StartTimeout:   time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(rt, "patience")),
			TimeToDeadline: time.Duration(rapid.Int64Range(int64(3*time.Second), int64(15*time.Second)).Draw(rt, "left")),
		}
		const callers = 100
		slots := map[time.Duration]int{}
		for i := range callers {
			after := c.RetryAfter(float64(i) / callers)
			require.LessOrEqual(rt, after, c.TimeToDeadline/3+time.Millisecond)
			require.GreaterOrEqual(rt, after, leastReturn)
			slots[after/(20*time.Millisecond)]++
		}
		for slot, n := range slots {
			require.LessOrEqual(rt, n, callers/4, "return together at %v", slot*20*time.Millisecond)
		}
	})
}
