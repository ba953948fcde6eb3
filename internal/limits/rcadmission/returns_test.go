package rcadmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReturnsFollowCapacity guards against callers that are rejected within a second and
// come back together, faster than exchanges begin.
func TestReturnsFollowCapacity(t *testing.T) {
	const perSecond, callers = 40, 60
	var r Returns
	now := time.Unix(0, 0)
	for range 10 * perSecond {
		now = now.Add(time.Second / perSecond)
		r.RecordBegin(now)
	}
	p := Params{ExpectedWait: 4 * time.Second, StartTimeout: 4 * time.Second, TimeToDeadline: 6 * time.Second}
	perInterval := map[time.Duration]int{}
	for i := range callers {
		after := r.Book(p, float64(i)/callers, now)
		require.LessOrEqual(t, after, p.TimeToDeadline/3, "callers do not honor it")
		require.GreaterOrEqual(t, after, minRetryAfter)
		perInterval[after/(500*time.Millisecond)]++
	}
	for at, n := range perInterval {
		// Half of what begins, and in the later half those for whom there is no slot.
		require.LessOrEqual(t, n, perSecond/4+callers/2, "after %v", at*500*time.Millisecond)
	}
	require.LessOrEqual(t, perInterval[1], perSecond/4+1, "in the earlier half")
}

// TestReturnsWithoutRate guards against a Retry-After that is derived from a rate that is
// unknown, as at a new instance.
func TestReturnsWithoutRate(t *testing.T) {
	var r Returns
	p := Params{ExpectedWait: 2 * time.Second, StartTimeout: 2 * time.Second, TimeToDeadline: 6 * time.Second}
	require.Equal(t, p.RetryAfter(0.3), r.Book(p, 0.3, time.Unix(0, 0)))
}

// TestUrgentComesFirst guards against urgent exchanges that count the queue of deferrable
// ones as ahead of them, and against late deferrable ones that are admitted at a wait at
// which urgent ones are refused.
func TestUrgentComesFirst(t *testing.T) {
	var m Mix
	now := time.Unix(0, 0)
	require.Equal(t, 1.0, m.Ahead(2, now))
	m.Record(0, 100, 2*time.Second, now)
	m.Record(2, 300, 5*time.Second, now)
	require.InDelta(t, 0.25, m.Ahead(0, now), 0.001)
	require.Equal(t, 1.0, m.Ahead(2, now))
	require.Zero(t, m.UrgentTimeout(0))
	late := Params{StartTimeout: 5 * time.Second, Late: true, UrgentTimeout: m.UrgentTimeout(2)}
	urgent := Params{StartTimeout: 2 * time.Second}
	require.Less(t, late.MaxWait(), urgent.MaxWait())
}
