package rcaffinity

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// unevenSpeed gives engines 0.6, 1.0 and 1.6 times the usual speed. Every fourth loses 0.3 of
// it to a neighbor in two of six seconds.
func unevenSpeed(engine int, at float64) float64 {
	speed := []float64{0.6, 1, 1.6}[engine%3]
	if engine%4 == 0 && math.Mod(at+float64(engine)*700, 6000) < 2000 {
		speed *= 0.7
	}
	return speed
}

// TestFasterEnginesGetMoreWork guards against placement by the work alone, where requests
// queue at the slow engines of a service while its fast ones are idle.
func TestFasterEnginesGetMoreWork(t *testing.T) {
	for _, instances := range []int{1, 12, 88} {
		var before, after float64
		for _, known := range []bool{false, true} {
			r := newReplay(24, instances, unevenSpeed)
			r.speedKnown, r.weighTargets = known, known
			rng := rand.New(rand.NewPCG(7, 7))
			short := replayLoad(rng, 90, 20, instances, 60, replayShort)
			long := replayLoad(rng, 90, 20, instances, 60, replayLong)
			r.run(append(append([]*replayRequest{}, short...), long...))
			var work [3]float64
			for i, e := range r.engines {
				work[i%3] += e.work
			}
			shortP95, shortOnTime := p95(short)
			longP95, longOnTime := p95(long)
			t.Logf("%d instances, speed known %v: p95 of short %.0f ms, on time %.3f; of long %.0f ms, on time %.3f; work at 0.6 %.2f, at 1.6 %.2f",
				instances, known, shortP95, shortOnTime, longP95, longOnTime, work[0]/work[1], work[2]/work[1])
			if before = after; known {
				require.LessOrEqual(t, shortP95, replayShort.target)
				require.LessOrEqual(t, longP95, replayLong.target)
				require.Less(t, work[0]/work[1], 0.8, "halfway from equal work to 0.6")
				require.Greater(t, work[2]/work[1], 1.3, "halfway from equal work to 1.6")
			}
			after = longP95
		}
		require.Less(t, after, before)
	}
}

// TestPlainRequestsSpread guards against many instances that all send their requests to the
// plain server that seemed to have most room in the last load reports.
func TestPlainRequestsSpread(t *testing.T) {
	states := engines(4)
	for i := range states {
		states[i].Slots, states[i].Speed = 6, []float64{0.6, 1, 1, 1.6}[i]
		states[i].PeerLoad.Running = []int{3, 3, 2, 3}[i]
	}
	chosen := map[radishcrank.UpstreamID]int{}
	for n := range 2000 {
		chosen[choose(t, Request{Zone: "z", Spread: uint64(n)}, states).Upstream.ID]++
	}
	for i := range states {
		weight := states[i].Speed * states[i].Speed * float64(6-states[i].PeerLoad.Running)
		require.InDelta(t, weight/(0.36*3+3+4+2.56*3), float64(chosen[states[i].ID])/2000, 0.04, i)
	}
}

// TestFullMemoryIsAvoided guards against a prompt at an engine whose requests fill its
// memory, which preempts one of them and reads it again.
func TestFullMemoryIsAvoided(t *testing.T) {
	states, req := engines(4), request("k")
	owner := choose(t, req, states)
	for i := range states {
		states[i].CacheTokens, states[i].Speed = 100_000, 1
		if states[i].ID == owner.Upstream.ID {
			states[i].PeerLoad = rcfleet.Load{Running: 12, Held: 99_000}
		}
	}
	require.NotEqual(t, owner.Upstream.ID, choose(t, req, states).Upstream.ID)
	for i := range states {
		states[i].PeerLoad.Held = min(states[i].PeerLoad.Held, 100_000-owner.HeldTokens)
	}
	require.Equal(t, owner.Upstream.ID, choose(t, req, states).Upstream.ID, "it fits")
}
