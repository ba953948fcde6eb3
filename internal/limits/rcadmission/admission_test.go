package rcadmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestNoRefusalWithinMaxWait guards against refusals of exchanges that would start
// before their callers cancel them.
func TestNoRefusalWithinMaxWait(t *testing.T) {
	p := Params{ExpectedWait: 1800 * time.Millisecond, StartTimeout: 2400 * time.Millisecond}
	require.False(t, p.ShouldRefuse())
	p.ExpectedWait++
	require.True(t, p.ShouldRefuse())
}

// TestRetriesAreSpread guards against callers that are refused together, retry at
// the same time and are refused again.
func TestRetriesAreSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := Params{
			ExpectedWait:   time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(rt, "ahead")),
			StartTimeout:   time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(rt, "patience")),
			TimeToDeadline: time.Duration(rapid.Int64Range(int64(3*time.Second), int64(15*time.Second)).Draw(rt, "left")),
		}
		const callers = 100
		slots := map[time.Duration]int{}
		for i := range callers {
			after := p.RetryAfter(float64(i) / callers)
			require.LessOrEqual(rt, after, p.TimeToDeadline/3+time.Millisecond)
			require.GreaterOrEqual(rt, after, minRetryAfter)
			slots[after/(20*time.Millisecond)]++
		}
		for slot, n := range slots {
			require.LessOrEqual(rt, n, callers/4, "simultaneous retries at %v", slot*20*time.Millisecond)
		}
	})
}
