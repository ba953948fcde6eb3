package rclimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRaisedLimitKeepsBound guards against raised limits that permit more in a window than
// the deployment does.
func TestRaisedLimitKeepsBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := FleetRate{rapid.Float64Range(1, 1e6).Draw(rt, "rate"), rapid.Float64Range(0, 1e6).Draw(rt, "burst")}
		b := FleetBounds{Window: 8 * time.Second, Over: rapid.Float64Range(0, 1).Draw(rt, "over"), Slack: rapid.Float64Range(0, 2e5).Draw(rt, "slack")}
		bound := func(b FleetBounds, limit FleetRate) float64 {
			return (limit.Rate*b.Window.Seconds()+limit.Burst)*(1+b.Over) + b.Slack
		}
		require.InEpsilon(rt, bound(b, limit), bound(b.Remaining(), b.Raise(limit)), 1e-9)
		require.GreaterOrEqual(rt, b.Remaining().Slack, 0.0)
	})
	require.Zero(t, FleetBounds{Slack: 100}.Raise(FleetRate{}), "no limit")
}

// TestUrgentRequestsUseLimitFirst guards against urgent requests that are rejected for the
// cost of deferrable ones, of an account at four times its limit.
func TestUrgentRequestsUseLimitFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	l := NewFleetLimiter(FleetConfig{Instance: "i", Zone: "z", Random: random.Float64})
	key, now := KeyOfAccount("a", true), time.Unix(1000, 0)
	const rate = 100_000
	l.SetInstances(nil)
	l.SetLimits(map[AccountKey]FleetRate{key: {rate, rate}}, now)
	asked, admitted := map[bool]float64{}, map[bool]float64{}
	for range 20 * 100 { // 20 s of 50,000 tokens/s of urgent and 350,000 of other requests.
		now = now.Add(10 * time.Millisecond)
		for _, r := range []struct {
			urgent bool
			cost   float64
		}{{true, 500}, {false, 3500}} {
			asked[r.urgent] += r.cost
			if l.Admit(key, r.cost, r.urgent, now).Admitted {
				admitted[r.urgent] += r.cost
			}
		}
	}
	require.Greater(t, admitted[true], 0.95*asked[true])
	require.Positive(t, admitted[false])
	require.Less(t, admitted[true]+admitted[false], 21.0*rate)
}

// TestLimiterLearnsOfZones guards against an instance that stops because a zone is
// registered after an account was last used.
func TestLimiterLearnsOfZones(t *testing.T) {
	l := NewFleetLimiter(FleetConfig{Instance: "i", Zone: "z", Random: rand.Float64})
	key, now := KeyOfAccount("a", true), time.Unix(1000, 0)
	l.SetLimits(map[AccountKey]FleetRate{key: {1000, 1000}}, now)
	l.Admit(key, 1, true, now)
	l.SetInstances([]FleetInstance{{ID: "j", Zone: "z2"}})
	now = now.Add(time.Second)
	l.Revise(now)
	require.NotPanics(t, func() { l.Admit(key, 1, true, now) })
}

// TestRestartedInstancesDoNotKnowEachOther guards against instances that restart at the same
// time and each admit as much as the whole fleet until they have read who the others are.
func TestRestartedInstancesDoNotKnowEachOther(t *testing.T) {
	const instances, rate = 88, 260_000
	key, start := KeyOfAccount("a", true), time.Unix(1000, 0)
	used := 0.0
	for i := range instances {
		l := NewFleetLimiter(FleetConfig{Instance: "i", Zone: "z", Random: rand.New(rand.NewPCG(1, uint64(i))).Float64})
		l.AssumeInstances(instances)
		l.SetLimits(map[AccountKey]FleetRate{key: {rate, rate}}, start)
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
			if l.Admit(key, 870, true, now).Admitted {
				used += 870
			}
		}
	}
	require.Less(t, used, 1.2*rate, "of a second")
	require.Greater(t, used, 0.5*rate, "what they may use")
}
