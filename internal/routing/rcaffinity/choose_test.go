package rcaffinity

import (
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

const model = "m"

func engines(n int) (states []rcfleet.State) {
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		s := rcfleet.State{Listed: true, Hash: xxhash.Sum64String(id)}
		s.ID = radishcrank.UpstreamID(id)
		s.Zone = "z"
		s.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		s.Weights = map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "1"}
		states = append(states, s)
	}
	return states
}

func request(key string) Request {
	return Request{
		Zone:  "z",
		Model: model,
		Parts: []radishcrank.PromptPart{{ID: "root", Tokens: 2500}, {ID: key, Tokens: 3800}, {ID: "own", Tokens: 2900}},
		Salt:  func(w radishcrank.WeightsVersion) string { return string(w) },
	}
}

func choose(t require.TestingT, req Request, states []rcfleet.State) Choice {
	c, ok := Choose(req, states, time.Now())
	require.True(t, ok)
	return c
}

// TestOnlyKeysOfLostEngineMove guards against a crash that moves the prefixes
// of all engines, each of which is then prefilled again.
func TestOnlyKeysOfLostEngineMove(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := engines(rapid.IntRange(2, 20).Draw(rt, "engines"))
		lost := rapid.IntRange(0, len(states)-1).Draw(rt, "lost")
		req := request(rapid.String().Draw(rt, "key"))
		before := choose(rt, req, states)
		states[lost].Suspect = true
		after := choose(rt, req, states)
		if before.Upstream.ID != states[lost].ID {
			require.Equal(rt, before.Upstream.ID, after.Upstream.ID)
		}
		require.NotEqual(rt, states[lost].ID, after.Upstream.ID)
	})
}

// TestUnusableEnginesAreNotChosen guards against new work on engines that are
// leaving, load weights or have just failed, whatever their cost.
func TestUnusableEnginesAreNotChosen(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		states := engines(6)
		usable := map[radishcrank.UpstreamID]bool{}
		for i := range states {
			states[i].Leaving = rapid.Bool().Draw(rt, "leaving")
			states[i].Suspect = rapid.Bool().Draw(rt, "suspect")
			if rapid.Bool().Draw(rt, "loading") {
				states[i].LoadingUntil = now.Add(time.Second)
			}
			usable[states[i].ID] = Usable(&states[i], now)
		}
		c, ok := Choose(request("k"), states, now)
		for id, u := range usable {
			if u {
				require.True(rt, ok, "upstream %s is usable", id)
			}
		}
		if ok {
			require.True(rt, usable[c.Upstream.ID])
		}
	})
}

// TestOverloadedOwnerIsAvoided guards against a hot prefix whose requests queue
// at the owner while other engines are idle.
func TestOverloadedOwnerIsAvoided(t *testing.T) {
	states := engines(4)
	req := request("hot")
	owner := choose(t, req, states).Upstream.ID
	for i := range states {
		if states[i].ID == owner {
			states[i].Prefilling = 40_000 // 1 s of prefill.
		}
	}
	c := choose(t, req, states)
	require.NotEqual(t, owner, c.Upstream.ID)
	require.True(t, c.KVSource.IsValid(), "the owner has cached what the other engine lacks")
}

// TestLightLoadStaysAtOwner guards against copies of a long prefix on many
// engines, which evict other parts from memory (load test Riga scale-1: 1,900 k
// tokens were prefilled again).
func TestLightLoadStaysAtOwner(t *testing.T) {
	states := engines(4)
	req := request("k")
	owner := choose(t, req, states).Upstream.ID
	for i := range states {
		if states[i].ID == owner {
			states[i].Prefilling = 1000 // 25 ms of prefill.
		}
	}
	require.Equal(t, owner, choose(t, req, states).Upstream.ID)
}

// TestReplacedWeightsExpire guards against requests on weights that were
// replaced too long ago, even if no other engine is left.
func TestReplacedWeightsExpire(t *testing.T) {
	now := time.Now()
	var history rcweights.History
	history, _ = history.Add("1", now.Add(-time.Minute))
	history, _ = history.Add("2", now.Add(-9*time.Second))
	history, _ = history.Add("3", now.Add(-time.Second))
	req := request("k")
	req.TargetHistory, req.MaxReplacedAge = history, 8*time.Second
	_, ok := Choose(req, engines(3), now)
	require.False(t, ok)

	states := engines(3)
	states[2].Weights = map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "2"}
	c, ok := Choose(req, states, now)
	require.True(t, ok)
	require.Equal(t, states[2].ID, c.Upstream.ID)
	require.Equal(t, radishcrank.WeightsVersion("2"), c.Weights)
}

// TestNoCopyAcrossWeights guards against the reuse of cache entries that were
// computed with other weights.
func TestNoCopyAcrossWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		states := engines(5)
		weights := map[netip.AddrPort]radishcrank.WeightsVersion{}
		for i := range states {
			w := rapid.SampledFrom([]radishcrank.WeightsVersion{"1", "2"}).Draw(rt, "weights")
			states[i].Weights = map[radishcrank.ModelID]radishcrank.WeightsVersion{model: w}
			weights[states[i].Addr] = w
		}
		req := request("k")
		req.CachedPrefixes = func(salt string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix {
			cached := map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{}
			for i := range states {
				cached[rcfleet.KeyOf(states[i].ID)] = rcfleet.CachedPrefix{Tokens: rapid.IntRange(0, 6300).Draw(rt, "held")}
			}
			return cached
		}
		c := choose(rt, req, states)
		require.Equal(rt, string(c.Weights), c.Salt)
		if c.KVSource.IsValid() {
			require.Equal(rt, c.Weights, weights[c.KVSource])
		}
	})
}

// TestStoreGetsPartsOnce guards against prompts that are written to the store
// repeatedly, and against prompts that are prefilled again although the store
// has them.
func TestStoreGetsPartsOnce(t *testing.T) {
	req := request("k")
	req.KVStores = []KVStore{{ID: "store/a", Addr: netip.MustParseAddrPort("10.9.0.1:80")}, {ID: "store/b", Addr: netip.MustParseAddrPort("10.9.0.2:80")}}
	cached := map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{}
	req.CachedPrefixes = func(string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix { return cached }
	states := engines(3)
	first := choose(t, req, states)
	require.True(t, first.KVTarget.IsValid())
	cached[rcfleet.KeyOf(first.KVStoreUsed)] = rcfleet.CachedPrefix{Tokens: 6300}
	cached[rcfleet.KeyOf(first.Upstream.ID)] = rcfleet.CachedPrefix{Tokens: 6300, Age: 2 * evictionAge}
	second := choose(t, req, states)
	require.False(t, second.KVTarget.IsValid())
	require.Equal(t, first.KVTarget, second.KVSource)
}

// TestPoolsRequirePauses guards against long prompts on engines whose streams
// pause for too long, and against pools when no stream does.
func TestPoolsRequirePauses(t *testing.T) {
	states := engines(12)
	short := poolFor(maxShortPrompt, states)
	long := poolFor(maxShortPrompt+1, states)
	require.Len(t, short, 3)
	require.Len(t, long, 9)
	for i := range 200 {
		req := request(fmt.Sprint(i))
		req.PauseRatio = 0.3
		require.True(t, long[choose(t, req, states).Upstream.ID])
	}
	inShort := 0
	for i := range 200 {
		if short[choose(t, request(fmt.Sprint(i)), states).Upstream.ID] {
			inShort++
		}
	}
	require.Positive(t, inShort)
	require.Nil(t, poolFor(maxShortPrompt, engines(minPooledEngines-1)))
}

// maxChooseTime bounds the processor time of a placement: an instance with 0.2
// cores that serves some 20 requests/s spends 2.8% of a core on requests.
const maxChooseTime = 100 * time.Microsecond

// TestBoundChoose guards against placement that becomes too slow for fleets of
// 60 engines.
func TestBoundChoose(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") == "" {
		t.Skip("bounds run without the race detector: RADISHCRANK_BOUNDS=1")
	}
	states := engines(60)
	r := testing.Benchmark(func(b *testing.B) {
		req := request("k")
		req.PauseRatio = 0.2
		for b.Loop() {
			Choose(req, states, time.Now())
		}
	})
	require.Less(t, time.Duration(r.NsPerOp()), maxChooseTime)
}

// TestReplacedWeightsExpireInQueue guards against a request that is sent to
// replaced weights in time but begins too late because it is queued at the
// engine.
func TestReplacedWeightsExpireInQueue(t *testing.T) {
	states := engines(3)
	req := request("key")
	now := time.Now()
	history, _ := rcweights.History{}.Add("1", now.Add(-time.Minute))
	history, _ = history.Add("2", now.Add(-7*time.Second))
	req.TargetHistory, req.MaxReplacedAge = history, 8*time.Second
	_, ok := Choose(req, states, now)
	require.True(t, ok)
	for i := range states {
		states[i].PeerLoad.Prefilling = 60_000 // 1.5 s.
	}
	_, ok = Choose(req, states, now)
	require.False(t, ok)
}

// TestEngineWithinMaxWaitIsPreferred guards against an exchange that is refused
// at its owner although another engine would begin it in time.
func TestEngineWithinMaxWaitIsPreferred(t *testing.T) {
	states := engines(4)
	req := request("k")
	owner := choose(t, req, states).Upstream.ID
	for i := range states {
		states[i].Prefilling = 46_000 // 1.15 s.
		if states[i].ID == owner {
			states[i].Prefilling = 50_000 // 1.25 s, still cheaper than another engine.
		}
	}
	require.Equal(t, owner, choose(t, req, states).Upstream.ID)
	req.MaxWait = 1200 * time.Millisecond
	c := choose(t, req, states)
	require.NotEqual(t, owner, c.Upstream.ID)
	require.LessOrEqual(t, c.QueueWait, req.MaxWait)
}

// TestFullFleetAvoidsProbedEngine guards against a fleet of full engines that
// sends all requests to the one that has just recovered from a failure.
func TestFullFleetAvoidsProbedEngine(t *testing.T) {
	states := engines(4)
	for i := range states {
		states[i].Prefilling = 60_000 // 1.5 s.
	}
	states[0].Prefilling, states[0].Probing, states[0].Running = 0, true, 40
	req := request("k")
	req.MaxWait = 1200 * time.Millisecond
	c := choose(t, req, states)
	require.NotEqual(t, states[0].ID, c.Upstream.ID)
	require.Greater(t, c.MinQueueWait, req.MaxWait, "the wait at an engine that has just failed must not count")
}
