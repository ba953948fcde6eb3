package rcaffinity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// TestLateViewsDoNotHerd guards against many instances that send what leaves its
// owner to the one engine that was idle when they last heard (Riga grown
// trouble-1: 7.7 times the mean after a load of weights).
func TestLateViewsDoNotHerd(t *testing.T) {
	states := engines(60)
	for i := range states {
		states[i].PeerLoad.Prefilling = 12_000 // 0.3 s.
	}
	states[7].PeerLoad.Prefilling = 0
	const requests = 600 // Placed before any of them shows in what instances are told.
	got := map[radishcrank.UpstreamID]int{}
	for i := range requests {
		got[choose(t, request(fmt.Sprint("key", i)), states).Upstream.ID]++
	}
	mean := requests / len(states)
	for id, n := range got {
		require.LessOrEqual(t, n, 5*mean, id)
	}
	require.Greater(t, got["e7"], mean, "an idle engine is to get more than the mean")
}

// TestPromptsStayOnFewEngines guards against copies of a prompt's parts on all
// engines, which push each other out of memory.
func TestPromptsStayOnFewEngines(t *testing.T) {
	states := engines(60)
	got := map[radishcrank.UpstreamID]bool{}
	for i := range 200 {
		for j := range states {
			states[j].PeerLoad.Prefilling = (i*7919 + j*104_729) % 8000 // Up to 0.2 s, different each time.
		}
		got[choose(t, request("hot"), states).Upstream.ID] = true
	}
	require.LessOrEqual(t, len(got), 6)
}

// TestCopiedPartsAreNoBacklog guards against an engine that looks busy with
// parts that it copies instead of reading them.
func TestCopiedPartsAreNoBacklog(t *testing.T) {
	states := engines(3)
	req := request("key")
	owner := choose(t, req, states)
	for i := range states {
		if states[i].ID == owner.Upstream.ID {
			states[i].PeerLoad.Prefilling = 100_000 // The prompt goes to another engine.
		}
	}
	held := map[radishcrank.UpstreamID]rcfleet.CachedPrefix{owner.Upstream.ID: {Tokens: 6300}}
	req.CachedPrefixes = func(string) map[radishcrank.UpstreamID]rcfleet.CachedPrefix { return held }
	c := choose(t, req, states)
	require.False(t, c.Owner)
	require.True(t, c.KVSource.IsValid())
	require.Equal(t, 2900, c.UncachedTokens)
	delete(held, owner.Upstream.ID)
	require.Equal(t, 9200, choose(t, req, states).UncachedTokens)
}

// TestFreshestHolderIsTheSource guards against copies from an engine that has
// dropped the parts while another one has just used them.
func TestFreshestHolderIsTheSource(t *testing.T) {
	states := engines(4)
	req := request("key")
	owner := choose(t, req, states).Upstream.ID
	held := map[radishcrank.UpstreamID]rcfleet.CachedPrefix{}
	var freshest radishcrank.UpstreamID
	for _, s := range states {
		if s.ID != owner {
			held[s.ID] = rcfleet.CachedPrefix{Tokens: 6300, Age: time.Duration(len(held)+1) * 100 * time.Millisecond}
			if freshest == "" {
				freshest = s.ID
			}
		}
	}
	req.CachedPrefixes = func(string) map[radishcrank.UpstreamID]rcfleet.CachedPrefix { return held }
	c := choose(t, req, states)
	require.Equal(t, owner, c.Upstream.ID)
	for _, s := range states {
		if s.ID == freshest {
			require.Equal(t, s.Addr, c.KVSource)
		}
	}
}

// TestFullSlotsAreLeft guards against chat requests that wait for a slot at one
// engine while others have free ones (Riga grown trouble-1: 1.3 s to the first
// event on the engines of a lane).
func TestFullSlotsAreLeft(t *testing.T) {
	states := engines(8)
	req := request("key")
	req.Parts = []radishcrank.PromptPart{{ID: "root", Tokens: 120}, {ID: "session", Tokens: 80}, {ID: "own", Tokens: 600}}
	owner := choose(t, req, states).Upstream.ID
	for i := range states {
		states[i].Slots = 32
		if states[i].ID == owner {
			states[i].Running, states[i].PeerLoad.Running = 4, 30
		}
	}
	require.NotEqual(t, owner, choose(t, req, states).Upstream.ID)
}

// TestLanesNeedRoom guards against lanes in a fleet so full that the short lane
// can't hold the chat answers.
func TestLanesNeedRoom(t *testing.T) {
	states := engines(12)
	for i := range states {
		states[i].Slots, states[i].Running = 32, 4
	}
	require.Len(t, laneFor(800, states), 3)
	require.Len(t, laneFor(9000, states), 9)
	for i := range states {
		states[i].Running = 12
	}
	require.Nil(t, laneFor(800, states))
	require.Nil(t, laneFor(9000, states))
}
