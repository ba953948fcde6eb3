package rcfleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestMisdirected guards against requests that go to an upstream which is gone, or loads other
// weights than expected, as long as it is listed, and against a report that takes an upstream
// out of use whose entry or weights are newer.
func TestMisdirected(t *testing.T) {
	entry := func(i radishcrank.Incarnation, w radishcrank.WeightsVersion) Entry {
		return Entry{Upstream: radishcrank.Upstream{ID: "u", Service: "s", Incarnation: i}, Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": w}}
	}
	report := Misdirected{Upstream: "u", Incarnation: 1, Model: "m", Weights: "1"}
	for name, c := range map[string]struct {
		listed  Entry
		then    func(f *Fleet)
		changed bool
		suspect time.Duration // How long it gets no work.
	}{
		"as listed":                  {listed: entry(1, "1"), changed: true, suspect: misdirectedSuspicion},
		"restarted since":            {listed: entry(2, "1")},
		"newer weights are known":    {listed: entry(1, "2")},
		"newer weights become known": {listed: entry(1, "1"), then: func(f *Fleet) { f.SetWeights("u", "m", "2") }, changed: true},
		"restarts":                   {listed: entry(1, "1"), then: func(f *Fleet) { f.Put(entry(2, "1")) }, changed: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New()
				f.Put(c.listed)
				require.Equal(t, c.changed, f.MarkMisdirected(report))
				require.False(t, f.MarkMisdirected(report), "reported twice")
				if c.then != nil {
					c.then(f)
				}
				s, _ := f.Get("u")
				require.Equal(t, c.suspect > 0, s.Suspect)
				time.Sleep(c.suspect)
				s, _ = f.Get("u")
				require.False(t, s.Suspect)
			})
		})
	}
	require.False(t, New().MarkMisdirected(report), "unknown upstream")
}

// TestMisdirectedAgain guards against a request each second to an upstream that stays listed.
func TestMisdirectedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		f.Put(Entry{Upstream: radishcrank.Upstream{ID: "u", Service: "s", Incarnation: 1}})
		attempts := 0
		for range 10 * time.Second / (10 * time.Millisecond) {
			if f.MarkMisdirected(Misdirected{Upstream: "u", Incarnation: 1}) {
				attempts++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, attempts, 6)
	})
}
