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

var takenAt = time.UnixMilli(1764793000000)

const maxAge = 10 * time.Minute

// testSnapshot returns a snapshot with entries of up to 500 engines.
func testSnapshot(entries, breakers int) Snapshot {
	s := Snapshot{Instance: "router-1", Zone: "zone-1", TakenAt: takenAt}
	for i := range entries {
		e := rcindex.Entry{
			Upstream: radishcrank.UpstreamID(fmt.Sprintf("eu-north-1-engine-%d", i%500)), Incarnation: 1764790000000,
			AccountTag: uint32(i * 7919), Depth: i % 20, Confidence: 0.5, LastSeen: takenAt.Add(-time.Duration(i%60) * time.Second),
		}
		copy(e.Block[:], fmt.Sprintf("%016d", i))
		s.Prefixes = append(s.Prefixes, e)
	}
	for i := range breakers {
		s.Breakers = append(s.Breakers, Breaker{
			Upstream: radishcrank.UpstreamID(fmt.Sprintf("eu-north-1-engine-%d", i)), State: "Open", Failures: i, ChangedAt: takenAt,
		})
	}
	s.Suspects = []Suspect{{Key: "content", Crashes: 3, Verdict: true, LastCrash: takenAt}}
	return s
}

func mustEncode(t require.TestingT, s Snapshot) []byte {
	data, err := Encode(s)
	require.NoError(t, err)
	return data
}

// Guards against an encoding that loses or changes content, and against snapshots
// too large for the bandwidth of the pusher.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := testSnapshot(rapid.IntRange(0, 50).Draw(t, "entries"), rapid.IntRange(0, 50).Draw(t, "breakers"))
		got, err := Decode(mustEncode(t, want), "zone-1", takenAt.Add(maxAge), maxAge)
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
	data := mustEncode(t, testSnapshot(MaxEntries+10, engines))
	got, err := Decode(data, "zone-1", takenAt, maxAge)
	require.NoError(t, err)
	require.Len(t, got.Prefixes, MaxEntries)
	t.Logf("%d entries and %d breakers take %d bytes", MaxEntries, engines, len(data))
	// The pusher of a zone may send 3 KB/s.
	require.Less(t, len(data), int(pushInterval.Seconds())*3000)
}

// Guards against corrupt or stale snapshots, and ones of another zone or format
// version, that are accepted.
func TestDecodeRefuses(t *testing.T) {
	data := mustEncode(t, testSnapshot(5, 5))
	rapid.Check(t, func(t *rapid.T) {
		corrupted := bytes.Clone(data)
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		corrupted[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		_, err := Decode(corrupted, "zone-1", takenAt, maxAge)
		require.Error(t, err)
		_, err = Decode(data[:at], "zone-1", takenAt, maxAge)
		require.ErrorIs(t, err, ErrCorrupt)
	})
	_, err := Decode(data, "zone-1", takenAt.Add(maxAge+time.Second), maxAge)
	require.ErrorIs(t, err, ErrStale)
	_, err = Decode(data, "zone-1", takenAt.Add(-2*maxClockSkew), maxAge)
	require.ErrorIs(t, err, ErrStale)
	_, err = Decode(data, "zone-2", takenAt, maxAge)
	require.ErrorIs(t, err, ErrWrongZone)
	_, err = Decode(make([]byte, MaxBytes+1), "zone-1", takenAt, maxAge)
	require.ErrorIs(t, err, ErrCorrupt)
	newer := bytes.Clone(data)
	newer[len(magic)] = formatVersion + 1
	var version *VersionError
	_, err = Decode(newer, "zone-1", takenAt, maxAge)
	require.ErrorAs(t, err, &version)
}

// Guards against rows of the board that are missing from the content.
func TestFromBoard(t *testing.T) {
	b := rcboard.New()
	b.Suspects.Put("a", rcboard.Suspect{Crashes: 2, Verdict: true, LastCrash: takenAt})
	b.Breakers.Put("e", rcboard.Breaker{State: "Open", Failures: 3, ChangedAt: takenAt})
	require.Equal(t, Content{
		Suspects: []Suspect{{Key: "a", Crashes: 2, Verdict: true, LastCrash: takenAt}},
		Breakers: []Breaker{{Upstream: "e", State: "Open", Failures: 3, ChangedAt: takenAt}},
	}, FromBoard(b))
}

// Guards against input that makes the decoder panic or accept values out of range.
// The payload gets a valid header, because random input never passes the hash check.
func FuzzDecode(f *testing.F) {
	data := mustEncode(f, testSnapshot(3, 3))
	f.Add(data[headerBytes:])
	f.Add([]byte("\x81\xa8Breakers\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		Decode(payload, "zone-1", takenAt, maxAge)
		s, err := Decode(addHeader(payload), "zone-1", takenAt, maxAge)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(s.Prefixes), MaxEntries)
		again, err := Decode(mustEncode(t, s), "zone-1", takenAt, maxAge)
		require.NoError(t, err)
		require.Len(t, again.Prefixes, len(s.Prefixes))
	})
}
