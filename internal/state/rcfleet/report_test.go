package rcfleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
)

// TestReportsAreReadBack guards against reports that other instances read as something
// else.
func TestReportsAreReadBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loads := rapid.MapOf(rapid.Custom(func(rt *rapid.T) UpstreamKey { return UpstreamKey(rapid.Uint32().Draw(rt, "key")) }),
			rapid.Custom(func(rt *rapid.T) Load {
				return Load{Running: rapid.IntRange(0, 1000).Draw(rt, "running"), Prefilling: prefillingUnit * rapid.IntRange(0, 1<<20).Draw(rt, "prefilling")}
			})).Draw(rt, "loads")
		text, err := LoadReport(loads).MarshalText()
		require.NoError(rt, err)
		var read LoadReport
		require.NoError(rt, read.UnmarshalText(text))
		require.Equal(rt, LoadReport(loads), read)

		var cached CachedReport
		for range rapid.IntRange(1, 20).Draw(rt, "entries") {
			c := CachedParts{Upstream: UpstreamKey(rapid.Uint32().Draw(rt, "upstream"))}
			c.Parts = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) PartKey { return PartKey(rapid.Uint64().Draw(rt, "part")) }), 1, 5).Draw(rt, "parts")
			cached = append(cached, c)
		}
		text, err = cached.MarshalText()
		require.NoError(rt, err)
		var readParts CachedReport
		require.NoError(rt, readParts.UnmarshalText(text))
		require.Equal(rt, cached, readParts)
	})
}

// TestReportsAreSmall guards against reports to 295 instances several times a second that
// take more than a few bytes for each upstream.
func TestReportsAreSmall(t *testing.T) {
	loads := LoadReport{}
	for i := range 240 {
		loads[KeyOf(radishcrank.UpstreamID(fmt.Sprintf("i-%010x", i)))] = Load{Running: 12, Prefilling: 9190}
	}
	require.Len(t, loads, 240, "keys collide")
	text, err := loads.MarshalText()
	require.NoError(t, err)
	require.LessOrEqual(t, len(text), 240*10)
}

// FuzzReports guards against a malformed message that ends an instance or makes it
// allocate without bound.
func FuzzReports(f *testing.F) {
	text, err := LoadReport{5: {Running: 1, Prefilling: 16}}.MarshalText()
	require.NoError(f, err)
	f.Add(text)
	text, err = CachedReport{{Upstream: 5, Parts: []PartKey{1, 2}}}.MarshalText()
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte("/////w8"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var loads LoadReport
		if loads.UnmarshalText(text) == nil {
			require.LessOrEqual(t, len(loads), len(text))
		}
		var cached CachedReport
		if cached.UnmarshalText(text) == nil {
			require.LessOrEqual(t, len(cached), len(text))
		}
	})
}

// TestLateLoadsAreReported guards against late work that is lost in reports, and against
// reports that versions without it cannot read: these read the loads and ignore the rest.
func TestLateLoadsAreReported(t *testing.T) {
	loads := LoadReport{1: {Running: 2, Prefilling: 64, Late: Late{Running: 1, Prefilling: 32}}, 9: {Running: 3, Prefilling: 160}}
	text, err := loads.MarshalText()
	require.NoError(t, err)
	var read LoadReport
	require.NoError(t, read.UnmarshalText(text))
	require.Equal(t, loads, read)
	d, err := newReportReader(text)
	require.NoError(t, err)
	first, _ := d.loads()
	require.Equal(t, LoadReport{1: {Running: 2, Prefilling: 64}, 9: {Running: 3, Prefilling: 160}}, first)
}

// TestLateWorkIsNotAhead guards against exchanges in time that avoid an engine whose only
// backlog is late, and against late work that still counts after it has begun.
func TestLateWorkIsNotAhead(t *testing.T) {
	f := New()
	f.Put(Entry{Upstream: radishcrank.Upstream{ID: "u", Service: "s"}})
	f.Begin("u", 100)
	e := f.Begin("u", 1000)
	e.Defer()
	ahead := func(deferred bool) [2]int {
		s, _ := f.Get("u")
		running, prefilling, _ := s.Ahead(deferred)
		return [2]int{running, prefilling}
	}
	require.Equal(t, [2]int{1, 100}, ahead(false))
	require.Equal(t, [2]int{2, 1100}, ahead(true))
	e.FirstEventReceived()
	require.Equal(t, [2]int{2, 100}, ahead(false))
	e.End(Succeeded)
	require.Equal(t, [2]int{1, 100}, ahead(false))
}

// TestReportWithoutCapacitiesKeepsLateWork guards against late work that counts as work in time
// in the reports between those with speeds and memory, and after these are merged again.
func TestReportWithoutCapacitiesKeepsLateWork(t *testing.T) {
	late := Late{Running: 2, Prefilling: 1600}
	full := LoadReport{7: {Running: 3, Prefilling: 2400, Late: late, Held: 640, Speed: SpeedSamples{Count: 1, Sum: 60}}}
	counts := full.WithoutCapacities()
	require.Equal(t, LoadReport{7: {Running: 3, Prefilling: 2400, Late: late}}, counts)
	require.Equal(t, full, counts.WithCapacitiesOf(full))
}
