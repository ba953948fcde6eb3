package rcaffinity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// TestDelayedLoadsDoNotCauseHerding guards against many instances that send the
// prompts that leave their owners to the one engine that was idle in the last
// load reports (load test Riga grown trouble-1: 7.7 times the mean after a load
// of weights).
func TestDelayedLoadsDoNotCauseHerding(t *testing.T) {
	states := engines(60)
	for i := range states {
		states[i].PeerLoad.Prefilling = 12_000 // 0.3 s.
	}
	states[7].PeerLoad.Prefilling = 0
	const requests = 600 // Placed before any of them appears in load reports.
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

// TestPromptsStayOnFewEngines guards against copies of the parts of a prompt on
// all engines, which evict other parts from memory.
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

// TestCopiedPartsAreNotPrefilled guards against an engine that appears busy
// with parts that it copies instead of prefilling them.
func TestCopiedPartsAreNotPrefilled(t *testing.T) {
	states := engines(3)
	req := request("key")
	owner := choose(t, req, states)
	for i := range states {
		if states[i].ID == owner.Upstream.ID {
			states[i].PeerLoad.Prefilling = 100_000 // The prompt goes to another engine.
		}
	}
	cached := map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{rcfleet.KeyOf(owner.Upstream.ID): {Tokens: 6300}}
	req.CachedPrefixes = func(string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix { return cached }
	c := choose(t, req, states)
	require.False(t, c.Owner)
	require.True(t, c.KVSource.IsValid())
	require.Equal(t, 2900, c.UncachedTokens)
	delete(cached, rcfleet.KeyOf(owner.Upstream.ID))
	require.Equal(t, 9200, choose(t, req, states).UncachedTokens)
}

// TestMostRecentHolderIsSource guards against copies from an engine that has
// evicted the parts while another one has just used them.
func TestMostRecentHolderIsSource(t *testing.T) {
	states := engines(4)
	req := request("key")
	owner := choose(t, req, states).Upstream.ID
	cached := map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{}
	var mostRecent radishcrank.UpstreamID
	for _, s := range states {
		if s.ID != owner {
			cached[rcfleet.KeyOf(s.ID)] = rcfleet.CachedPrefix{Tokens: 6300, Age: time.Duration(len(cached)+1) * 100 * time.Millisecond}
			if mostRecent == "" {
				mostRecent = s.ID
			}
		}
	}
	req.CachedPrefixes = func(string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix { return cached }
	c := choose(t, req, states)
	require.Equal(t, owner, c.Upstream.ID)
	for _, s := range states {
		if s.ID == mostRecent {
			require.Equal(t, s.Addr, c.KVSource)
		}
	}
}

// TestFullSlotsAreAvoided guards against chat requests that wait for a slot at
// one engine while others have free ones (load test Riga grown trouble-1: 1.3 s
// to the first event on the engines of a pool).
func TestFullSlotsAreAvoided(t *testing.T) {
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

// TestPoolsNeedCapacity guards against pools in a fleet so full that the short
// pool can't hold the chat answers.
func TestPoolsNeedCapacity(t *testing.T) {
	states := engines(12)
	for i := range states {
		states[i].Slots, states[i].Running = 32, 4
	}
	require.Len(t, poolFor(800, states), 3)
	require.Len(t, poolFor(9000, states), 9)
	for i := range states {
		states[i].Running = 12
	}
	require.Nil(t, poolFor(800, states))
	require.Nil(t, poolFor(9000, states))
}
