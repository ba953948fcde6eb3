package rcfleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

const model = "m"

func entry(id string, incarnation int) Entry {
	return Entry{
		Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(id), Service: "s", Incarnation: radishcrank.Incarnation(incarnation)},
		Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "1"},
	}
}

func get(t *testing.T, f *Fleet, id string) State {
	t.Helper()
	s, ok := f.Get(radishcrank.UpstreamID(id))
	require.True(t, ok, "upstream %s is unknown", id)
	return s
}

// TestRemovalsAfterOutageAreDelayed guards against a fleet without upstreams
// right after an outage of the store, during which all entries expired.
func TestRemovalsAfterOutageAreDelayed(t *testing.T) {
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
		time.Sleep(removalGrace + time.Millisecond)
		f.Expire()
		require.Len(t, f.AppendStates("s", nil), 1)
		require.True(t, get(t, f, "a").Listed)
	})
}

// TestRemovalIsImmediateWhileListIsReachable guards against requests to an
// upstream that left without announcing it.
func TestRemovalIsImmediateWhileListIsReachable(t *testing.T) {
	f := New()
	f.Replace([]Entry{entry("a", 1)})
	f.Remove("a")
	require.Empty(t, f.AppendStates("s", nil))
}

// TestRemovalOfLeavingUpstreamIsImmediate guards against requests to an
// upstream that announced its departure and was then removed during an outage
// of the list.
func TestRemovalOfLeavingUpstreamIsImmediate(t *testing.T) {
	f := New()
	e := entry("a", 1)
	e.Leaving = true
	f.Replace([]Entry{e})
	f.SetReachable(false)
	f.Remove("a")
	require.Empty(t, f.AppendStates("s", nil))
}

// TestNewIncarnationResetsState guards against the use of cached parts,
// failures and weights of an earlier incarnation under the same ID.
func TestNewIncarnationResetsState(t *testing.T) {
	f := New()
	parts := []radishcrank.PromptPart{{ID: "p", Tokens: 100}}
	f.Replace([]Entry{entry("a", 1)})
	f.RecordCachedParts("a", "salt", parts)
	f.SetWeights("a", model, "3")
	f.MarkSuspect("a")
	exchange := f.Begin("a", 50)
	f.Put(entry("a", 2))
	exchange.End(Broken) // The exchange belongs to the earlier incarnation.
	s := get(t, f, "a")
	require.Empty(t, f.CachedPrefixes("salt", parts))
	require.Equal(t, radishcrank.WeightsVersion("1"), s.Weights[model])
	require.False(t, s.Suspect)
	require.Zero(t, s.Running)
	require.Zero(t, s.Prefilling)
}

// TestDelayedUpdateKeepsNewerWeights guards against a delayed list entry or
// answer that overwrites newer weights which an answer has shown.
func TestDelayedUpdateKeepsNewerWeights(t *testing.T) {
	f := New()
	f.Replace([]Entry{entry("a", 1)})
	f.SetWeights("a", model, "10")
	f.Put(entry("a", 1))
	f.SetWeights("a", model, "9")
	require.Equal(t, radishcrank.WeightsVersion("10"), get(t, f, "a").Weights[model])
}

// TestSuspicionGrowsAndEnds guards against a crashed upstream that every
// request tries, and against one that is never tried again.
func TestSuspicionGrowsAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		f.Replace([]Entry{entry("a", 1)})
		for want := initialSuspicion; want < maxSuspicion; want *= 2 {
			f.MarkSuspect("a")
			f.MarkSuspect("a") // Requests that fail together count as one failure.
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

// TestCachedPrefixesCountPrefixesOnly guards against an engine that counts as
// having cached a part whose predecessors it has not processed.
func TestCachedPrefixesCountPrefixesOnly(t *testing.T) {
	f := New()
	f.Replace([]Entry{entry("a", 1), entry("b", 1)})
	first, second := radishcrank.PromptPart{ID: "1", Tokens: 10}, radishcrank.PromptPart{ID: "2", Tokens: 20}
	require.True(t, f.RecordCachedParts("a", "x", []radishcrank.PromptPart{first, second}))
	require.False(t, f.RecordCachedParts("a", "x", []radishcrank.PromptPart{first, second}))
	f.RecordCachedParts("b", "x", []radishcrank.PromptPart{second})
	cached := f.CachedPrefixes("x", []radishcrank.PromptPart{first, second, {ID: "3", Tokens: 5}})
	require.Equal(t, 30, cached[KeyOf("a")].Tokens)
	require.Zero(t, cached[KeyOf("b")].Tokens)
	require.Empty(t, f.CachedPrefixes("y", []radishcrank.PromptPart{first}), "parts of another cache scope")
}

// TestRestoredListDoesNotBringBackUpstreams guards against requests to an upstream that
// has left or is about to, against one that is taken for its earlier incarnation, and
// against a fleet without the upstreams that registered last, because the platform
// restored its list from a copy.
func TestRestoredListDoesNotBringBackUpstreams(t *testing.T) {
	const confirmTime = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		leaving := func(e Entry) Entry {
			e.Leaving = true
			return e
		}
		f := New()
		f.Replace([]Entry{entry("kept", 1), entry("leaving", 1), entry("left", 1), entry("removed", 1), entry("removed and back", 1), entry("restarted", 1)})
		old := []Entry{entry("kept", 1), entry("leaving", 1), entry("left", 1), entry("removed", 1), entry("removed and back", 1), entry("restarted", 1)}
		f.Put(leaving(entry("leaving", 1)))
		f.Put(leaving(entry("left", 1)))
		f.Remove("left")
		f.Remove("removed")
		f.Remove("removed and back")
		f.Put(entry("restarted", 2))
		f.SetWeights("restarted", model, "2")
		f.Put(entry("new", 1))
		time.Sleep(time.Second)

		f.Restore(old, confirmTime)
		usable := func() (ids []radishcrank.UpstreamID) {
			for _, s := range f.AppendStates("s", nil) {
				if !s.Leaving && !s.Suspect {
					ids = append(ids, s.ID)
				}
			}
			return ids
		}
		require.ElementsMatch(t, []radishcrank.UpstreamID{"kept", "restarted", "new"}, usable())
		require.EqualValues(t, 2, get(t, f, "restarted").Incarnation)
		require.EqualValues(t, "2", get(t, f, "restarted").Weights[model])

		f.PutRestored(entry("removed and back", 1))
		f.PutRestored(entry("leaving", 1))
		f.PutRestored(entry("new", 1))
		require.ElementsMatch(t, []radishcrank.UpstreamID{"kept", "restarted", "new", "removed and back"}, usable())
		f.Remove("removed")
		time.Sleep(removalGrace + time.Millisecond)
		f.Expire()
		require.ElementsMatch(t, []radishcrank.UpstreamID{"kept", "restarted", "new", "removed and back"}, usable())
	})
}

// TestRestoredEntryIsConfirmedByTime guards against an upstream that is never used again,
// since the store does not tell heartbeats that change nothing.
func TestRestoredEntryIsConfirmedByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		f.Replace([]Entry{entry("a", 1)})
		f.Remove("a")
		f.Restore([]Entry{entry("a", 1)}, 5*time.Second)
		require.True(t, get(t, f, "a").Suspect)
		time.Sleep(5 * time.Second)
		require.False(t, get(t, f, "a").Suspect)
	})
}

// TestSoftwareVersionOfGoneUpstreamIsForgotten guards against a service that seems to have
// one software version although streams may have begun at another one.
func TestSoftwareVersionOfGoneUpstreamIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		up := func(id radishcrank.UpstreamID, i radishcrank.Incarnation, software radishcrank.SoftwareVersion) Entry {
			return Entry{Upstream: radishcrank.Upstream{ID: id, Service: "s", Incarnation: i, Software: software}}
		}
		f.Replace([]Entry{up("u0", 1, "a"), up("u1", 1, "a")})
		versions, complete := f.SoftwareVersions("s", time.Second)
		require.Equal(t, []radishcrank.SoftwareVersion{"a"}, versions)
		require.False(t, complete, "the list has just been read")
		time.Sleep(time.Second)
		f.Put(up("u0", 2, "b")) // Back with another version.
		versions, complete = f.SoftwareVersions("s", time.Second)
		require.Equal(t, []radishcrank.SoftwareVersion{"a", "b"}, versions)
		require.True(t, complete)
		f.Remove("u1")
		versions, _ = f.SoftwareVersions("s", time.Second)
		require.Equal(t, []radishcrank.SoftwareVersion{"a", "b"}, versions)
		time.Sleep(time.Second)
		versions, _ = f.SoftwareVersions("s", time.Second)
		require.Equal(t, []radishcrank.SoftwareVersion{"b"}, versions)
	})
}

// TestRemovalIsDoubtedOnlyAfterOutage guards against work for an upstream that has left,
// after a reset of this instance's own connection to the list or beyond the time in which
// live upstreams are listed again, and against a fleet that is lost with its entries in an
// outage.
func TestRemovalIsDoubtedOnlyAfterOutage(t *testing.T) {
	for _, c := range []struct {
		name           string
		outage         time.Duration
		removedAfter   time.Duration // After the outage.
		want, wantLate bool          // Whether the upstream is used then, and removalGrace after the outage.
	}{
		{"reset connection", 300 * time.Millisecond, time.Second, false, false},
		{"outage", 4 * time.Second, 0, true, false},
		{"long after an outage", 4 * time.Second, removalGrace, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New()
				f.SetMinOutage(400 * time.Millisecond)
				f.Replace([]Entry{entry("a", 1)})
				time.Sleep(time.Minute)
				f.SetReachable(false)
				time.Sleep(c.outage)
				f.SetReachable(true)
				time.Sleep(c.removedAfter)
				f.Remove("a")
				require.Equal(t, c.want, len(f.AppendStates("s", nil)) == 1)
				time.Sleep(removalGrace - c.removedAfter)
				_, ok := f.Get("a")
				require.Equal(t, c.wantLate, ok)
				require.Equal(t, c.wantLate, len(f.AppendStates("s", nil)) == 1)
			})
		})
	}
}

// TestAnnouncedLeavingOutlivesList guards against requests to an upstream that has said
// that it leaves, because an entry arrives later that says otherwise, is written anew after
// a removal or comes from an older copy.
func TestAnnouncedLeavingOutlivesList(t *testing.T) {
	f := New()
	f.Replace([]Entry{entry("a", 1)})
	require.False(t, f.SetLeaving("a", 2), "another incarnation")
	require.False(t, get(t, f, "a").Leaving)
	require.True(t, f.SetLeaving("a", 1))
	require.False(t, f.SetLeaving("a", 1))
	f.Put(entry("a", 1))
	require.True(t, get(t, f, "a").Leaving)
	f.Restore([]Entry{entry("a", 1)}, time.Second)
	require.True(t, get(t, f, "a").Leaving)
	f.Remove("a")
	f.Put(entry("a", 1))
	require.True(t, get(t, f, "a").Leaving)
	f.Put(entry("a", 2))
	require.True(t, get(t, f, "a").Leaving, "it said so before it was listed")
	f.Put(entry("a", 3))
	require.False(t, get(t, f, "a").Leaving)
}

// TestFailuresOfCutAreKept guards against upstreams that stay suspect after a cut of this
// instance's own links, and against a failure from before it that is forgotten.
func TestFailuresOfCutAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		for _, id := range []string{"before", "during"} {
			f.Put(Entry{Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(id), Service: "s"}})
		}
		f.MarkSuspect("before")
		time.Sleep(time.Millisecond)
		since := time.Now()
		f.MarkSuspect("during")
		f.RetryFailedSince("s", since)
		before, _ := f.Get("before")
		during, _ := f.Get("during")
		require.True(t, before.Suspect)
		require.False(t, during.Suspect)
		require.True(t, during.Probing, "one exchange tries it first")
	})
}
