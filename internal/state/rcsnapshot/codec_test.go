package rcsnapshot

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

var taken = time.UnixMilli(1764793000000)

const maxAge = 10 * time.Minute

// sample returns a snapshot of a zone with 500 engines and some traffic.
func sample(entries, breakers int) Snapshot {
	s := Snapshot{Instance: "router-1", Zone: "zone-1", TakenAt: taken}
	for i := range entries {
		e := rcindex.Entry{
			Upstream: radishcrank.UpstreamID(fmt.Sprintf("eu-north-1-engine-%d", i%500)), Incarnation: 1764790000000,
			AccountTag: uint32(i * 7919), Depth: i % 20, Confidence: 0.5, LastSeen: taken.Add(-time.Duration(i%60) * time.Second),
		}
		copy(e.Block[:], fmt.Sprintf("%016d", i))
		s.Prefixes = append(s.Prefixes, e)
	}
	for i := range breakers {
		s.Breakers = append(s.Breakers, Breaker{
			Upstream: radishcrank.UpstreamID(fmt.Sprintf("eu-north-1-engine-%d", i)), State: "Open", Failures: i, ChangedAt: taken,
		})
	}
	s.Suspects = []Suspect{{Key: "content", Crashes: 3, Verdict: true, LastCrash: taken}}
	return s
}

func encoded(t require.TestingT, s Snapshot) []byte {
	data, err := Encode(s)
	require.NoError(t, err)
	return data
}

// Guards against a codec that loses or changes what it carries.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := sample(rapid.IntRange(0, 50).Draw(t, "entries"), rapid.IntRange(0, 50).Draw(t, "breakers"))
		got, err := Decode(encoded(t, want), "zone-1", taken.Add(maxAge), maxAge)
		require.NoError(t, err)
		require.Equal(t, want.Prefixes, got.Prefixes)
		require.Len(t, got.Breakers, len(want.Breakers))
		for i, b := range want.Breakers {
			require.True(t, b.ChangedAt.Equal(got.Breakers[i].ChangedAt))
			got.Breakers[i].ChangedAt = b.ChangedAt
			require.Equal(t, b, got.Breakers[i])
		}
		require.Equal(t, want.Suspects[0].Key, got.Suspects[0].Key)
		require.True(t, want.Suspects[0].LastCrash.Equal(got.Suspects[0].LastCrash))
		require.Equal(t, want.Instance, got.Instance)
	})
	const engines = 500
	data := encoded(t, sample(MaxEntries+10, engines))
	got, err := Decode(data, "zone-1", taken, maxAge)
	require.NoError(t, err)
	require.Len(t, got.Prefixes, MaxEntries)
	t.Logf("%d entries and %d breakers take %d bytes", MaxEntries, engines, len(data))
	// The pusher of a zone has 3 KB/s.
	require.Less(t, len(data), int(pushInterval.Seconds())*3000)
}

// Guards against a damaged, old or foreign snapshot that is taken for truth.
func TestDecodeRefuses(t *testing.T) {
	data := encoded(t, sample(5, 5))
	rapid.Check(t, func(t *rapid.T) {
		broken := bytes.Clone(data)
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		broken[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		_, err := Decode(broken, "zone-1", taken, maxAge)
		require.Error(t, err)
		_, err = Decode(data[:at], "zone-1", taken, maxAge)
		require.ErrorIs(t, err, ErrCorrupt)
	})
	_, err := Decode(data, "zone-1", taken.Add(maxAge+time.Second), maxAge)
	require.ErrorIs(t, err, ErrStale)
	_, err = Decode(data, "zone-1", taken.Add(-2*maxSkew), maxAge)
	require.ErrorIs(t, err, ErrStale)
	_, err = Decode(data, "zone-2", taken, maxAge)
	require.ErrorIs(t, err, ErrWrongZone)
	_, err = Decode(make([]byte, MaxBytes+1), "zone-1", taken, maxAge)
	require.ErrorIs(t, err, ErrCorrupt)
	next := bytes.Clone(data)
	next[len(magic)] = codecNumber + 1
	var version *VersionError
	_, err = Decode(next, "zone-1", taken, maxAge)
	require.ErrorAs(t, err, &version)
}

// Guards against rows of the board that a snapshot lacks.
func TestFromBoard(t *testing.T) {
	b := rcboard.New()
	b.Suspects.Put("a", rcboard.Suspect{Crashes: 2, Verdict: true, LastCrash: taken})
	b.Breakers.Put("e", rcboard.Breaker{State: "Open", Failures: 3, ChangedAt: taken})
	require.Equal(t, Content{
		Suspects: []Suspect{{Key: "a", Crashes: 2, Verdict: true, LastCrash: taken}},
		Breakers: []Breaker{{Upstream: "e", State: "Open", Failures: 3, ChangedAt: taken}},
	}, FromBoard(b))
}

// Guards against input that makes the decoder panic or accept entries out of
// bounds. The payload is sealed first, or nothing would pass the checksum.
func FuzzDecode(f *testing.F) {
	data := encoded(f, sample(3, 3))
	f.Add(data[headerBytes:])
	f.Add([]byte("\x81\xa8Breakers\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		Decode(payload, "zone-1", taken, maxAge)
		s, err := Decode(seal(payload), "zone-1", taken, maxAge)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(s.Prefixes), MaxEntries)
		again, err := Decode(encoded(t, s), "zone-1", taken, maxAge)
		require.NoError(t, err)
		require.Len(t, again.Prefixes, len(s.Prefixes))
	})
}
