package rcfleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

const model = "m"

func entry(id string, born int) Entry {
	return Entry{
		Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(id), Service: "s", Incarnation: radishcrank.Incarnation(born)},
		Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "1"},
	}
}

func get(t *testing.T, f *Fleet, id string) State {
	t.Helper()
	s, ok := f.Get(radishcrank.UpstreamID(id))
	require.True(t, ok, "upstream %s is unknown", id)
	return s
}

// TestRemovalsAfterOutageAreDoubted guards against a fleet without upstreams
// right after the store's return, when all entries lapsed meanwhile.
func TestRemovalsAfterOutageAreDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		f.Replace([]Entry{entry("a", 1), entry("b", 1)})
		f.SetReachable(false)
		time.Sleep(5 * time.Second)
		f.SetReachable(true)
		f.Remove("a")
		f.Remove("b")
		require.Len(t, f.AppendStates("s", nil), 2)
		f.Put(entry("a", 1))
		time.Sleep(returnGrace + time.Millisecond)
		f.Expire()
		require.Len(t, f.AppendStates("s", nil), 1)
		require.True(t, get(t, f, "a").Listed)
	})
}

// TestRemovalIsFinalWhileListIsReachable guards against requests to an upstream
// that left without announcing it.
func TestRemovalIsFinalWhileListIsReachable(t *testing.T) {
	f := New()
	f.Replace([]Entry{entry("a", 1)})
	f.Remove("a")
	require.Empty(t, f.AppendStates("s", nil))
}

// TestLeavingUpstreamIsNotDoubted guards against requests to an upstream that
// announced its departure and was then removed during an outage of the list.
func TestLeavingUpstreamIsNotDoubted(t *testing.T) {
	f := New()
	e := entry("a", 1)
	e.Leaving = true
	f.Replace([]Entry{e})
	f.SetReachable(false)
	f.Remove("a")
	require.Empty(t, f.AppendStates("s", nil))
}

// TestNewIncarnationForgets guards against reliance on parts, faults and weights
// of an upstream's earlier life under the same id.
func TestNewIncarnationForgets(t *testing.T) {
	f := New()
	parts := []radishcrank.PromptPart{{ID: "p", Tokens: 100}}
	f.Replace([]Entry{entry("a", 1)})
	f.RecordCachedParts("a", "salt", parts)
	f.SetWeights("a", model, "3")
	f.MarkSuspect("a")
	run := f.Begin("a", 50)
	f.Put(entry("a", 2))
	run.End(Broken) // The run belonged to the earlier life.
	s := get(t, f, "a")
	require.Empty(t, f.CachedPrefixes("salt", parts))
	require.Equal(t, radishcrank.WeightsVersion("1"), s.Weights[model])
	require.False(t, s.Suspect)
	require.Zero(t, s.Running)
	require.Zero(t, s.Prefilling)
}

// TestLateNewsDoesNotTurnWeightsBack guards against an entry of the list, which
// lags, that hides newer weights which an answer has shown.
func TestLateNewsDoesNotTurnWeightsBack(t *testing.T) {
	f := New()
	f.Replace([]Entry{entry("a", 1)})
	f.SetWeights("a", model, "10")
	f.Put(entry("a", 1))
	f.SetWeights("a", model, "9")
	require.Equal(t, radishcrank.WeightsVersion("10"), get(t, f, "a").Weights[model])
}

// TestSuspicionGrowsAndEnds guards against a crashed upstream that is asked by
// every request, and against one that is never asked again.
func TestSuspicionGrowsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		f.Replace([]Entry{entry("a", 1)})
		for want := firstSuspicion; want < maxSuspicion; want *= 2 {
			f.MarkSuspect("a")
			f.MarkSuspect("a") // Requests that fail together are one fault.
			time.Sleep(want - time.Millisecond)
			require.True(t, get(t, f, "a").Suspect)
			time.Sleep(time.Millisecond)
			require.False(t, get(t, f, "a").Suspect)
			require.True(t, get(t, f, "a").Probing)
		}
		f.Begin("a", 0).End(Succeeded)
		require.False(t, get(t, f, "a").Probing)
	})
}

// TestHeldCountsBeginningsOnly guards against an engine that counts as holding a
// part whose predecessors it has not read.
func TestHeldCountsBeginningsOnly(t *testing.T) {
	f := New()
	f.Replace([]Entry{entry("a", 1), entry("b", 1)})
	first, second := radishcrank.PromptPart{ID: "1", Tokens: 10}, radishcrank.PromptPart{ID: "2", Tokens: 20}
	require.True(t, f.RecordCachedParts("a", "x", []radishcrank.PromptPart{first, second}))
	require.False(t, f.RecordCachedParts("a", "x", []radishcrank.PromptPart{first, second}))
	f.RecordCachedParts("b", "x", []radishcrank.PromptPart{second})
	held := f.CachedPrefixes("x", []radishcrank.PromptPart{first, second, {ID: "3", Tokens: 5}})
	require.Equal(t, 30, held["a"].Tokens)
	require.Zero(t, held["b"].Tokens)
	require.Empty(t, f.CachedPrefixes("y", []radishcrank.PromptPart{first}), "parts of another scope")
}
