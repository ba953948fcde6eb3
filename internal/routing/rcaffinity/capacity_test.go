package rcaffinity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

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
