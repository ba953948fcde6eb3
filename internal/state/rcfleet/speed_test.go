package rcfleet

import (
	"encoding/base64"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestSpeedIsMeanOfLastSeconds guards against placement by a single value, which may be that
// of a moment, by values of long ago, or by those of an earlier incarnation.
func TestSpeedIsMeanOfLastSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New()
		entry := Entry{Upstream: radishcrank.Upstream{ID: "u", Incarnation: 1}}
		f.Put(entry)
		speed := func() float64 {
			s, _ := f.Get("u")
			return s.Speed
		}
		require.Zero(t, speed())
		f.ObserveSlowness("u", 1, 0)
		require.Zero(t, speed(), "it reports three values")
		for i := range 40 {
			f.ObserveSlowness("u", 1, []float64{100, 300}[i%2])
			time.Sleep(50 * time.Millisecond)
		}
		require.InDelta(t, 0.5, speed(), 0.03)
		f.ObserveSlowness("u", 2, 1000)
		require.InDelta(t, 0.5, speed(), 0.03, "of another incarnation")
		for range 40 {
			f.ObserveSlowness("u", 1, 100)
			time.Sleep(50 * time.Millisecond)
		}
		require.InDelta(t, 1, speed(), 0.05)

		peers := LoadReport{KeyOf("u"): {Speed: SpeedSamples{Count: 200, Sum: 50_000}}}
		f.SetPeerLoads(peers)
		require.InDelta(t, 0.45, speed(), 0.05, "weighed by the samples of each")
		time.Sleep(speedRetention + 3*time.Second)
		require.Zero(t, speed())

		entry.Incarnation = 2
		f.Put(entry)
		f.SetPeerLoads(peers)
		require.Zero(t, speed(), "peers may not have heard of the restart")
	})
}

// TestPeerLoadIsMean guards against an upstream that seems idle in one load report and gets
// the requests of all instances until the next, and against a mean of reports that ended.
func TestPeerLoadIsMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, known := range []bool{false, true} {
			f := New()
			f.Put(Entry{Upstream: radishcrank.Upstream{ID: "u", Incarnation: 1}})
			if known {
				f.ObserveSlowness("u", 1, 100)
			}
			report := func(n int, pause time.Duration) Load {
				time.Sleep(pause)
				f.SetPeerLoads(LoadReport{KeyOf("u"): {Running: n, Prefilling: 100 * n}})
				s, _ := f.Get("u")
				return s.PeerLoad
			}
			require.Equal(t, Load{Running: 20, Prefilling: 2000}, report(20, 0), "the first report")
			fallen, risen := report(0, 200*time.Millisecond), report(30, 200*time.Millisecond)
			if !known {
				require.Equal(t, Load{}, fallen)
				require.Equal(t, Load{Running: 30, Prefilling: 3000}, risen)
				continue
			}
			require.Equal(t, 12, fallen.Running)
			require.Greater(t, risen.Running, 20)
			require.Less(t, risen.Running, 30)
			require.Zero(t, report(0, 2*time.Second).Running)
			report(20, 100*time.Millisecond)
			time.Sleep(peerLoadTTL + time.Millisecond)
			s, _ := f.Get("u")
			require.Zero(t, s.PeerLoad)
		}
	})
}

// TestCapacitiesAreReadBack guards against reports that earlier versions cannot read, and
// against speeds and memory that reach another upstream.
func TestCapacitiesAreReadBack(t *testing.T) {
	plain := LoadReport{7: {Running: 1, Prefilling: 16}, 9: {}, 1 << 30: {Running: 3}}
	earlier, err := plain.MarshalText()
	require.NoError(t, err)
	full := LoadReport{7: plain[7], 9: {Held: 128, Speed: SpeedSamples{Count: 3, Sum: 480}}, 1 << 30: {Running: 3, Held: 64}}
	text, err := full.MarshalText()
	require.NoError(t, err)
	require.Less(t, len(text)-len(earlier), 14)
	counts, err := base64.RawStdEncoding.DecodeString(string(earlier))
	require.NoError(t, err)
	all, err := base64.RawStdEncoding.DecodeString(string(text))
	require.NoError(t, err)
	require.Equal(t, counts, all[:len(counts)], "earlier versions read no further")
	var read LoadReport
	require.NoError(t, read.UnmarshalText(text))
	require.Equal(t, full, read)
	require.Equal(t, Load{Speed: SpeedSamples{Count: 1, Sum: 160}, Held: 64}, read[9].Sub(Load{Held: 64, Speed: SpeedSamples{Count: 2, Sum: 200}}))
	require.Error(t, read.UnmarshalText(append(text, text...)))
}
