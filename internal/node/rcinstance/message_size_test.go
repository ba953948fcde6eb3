package rcinstance

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
)

// TestBytesOfNews guards against messages whose entries grow beyond the sizes on which
// docs/CAPACITY.md is based.
func TestBytesOfNews(t *testing.T) {
	const (
		id = "i-993fe1b7b8"
	)
	size := func(n peerUpdate) int {
		text, err := json.Marshal(n)
		require.NoError(t, err)
		return len(text)
	}
	loads := rcfleet.LoadReport{}
	for i := range 100 {
		loads[rcfleet.KeyOf(radishcrank.UpstreamID(fmt.Sprintf("i-%010x", i)))] = rcfleet.Load{Running: 12, Prefilling: 12345}
	}
	parts := []radishcrank.PromptPart{{ID: "5c1e07a2", Tokens: 2520}, {ID: "91bd3f06", Tokens: 3780}}
	empty := size(peerUpdate{})
	for _, c := range []struct {
		name string
		n    peerUpdate
		most int
	}{
		{"empty message", peerUpdate{}, 100},
		{"100 loads", peerUpdate{Running: loads}, 1000},
		{"cached parts", peerUpdate{Cached: rcfleet.CachedReport{rcfleet.NewCachedParts(id, "daka510000/12", parts)}}, 50},
		{"origin of a stream", peerUpdate{Streams: []rcorigin.Record{{Attempt: "5f8d460c199ad427", Origin: rcorigin.Origin{Service: "huvo11a", Software: "v1.1"}}}}, 100},
	} {
		n := size(c.n)
		if c.name != "empty message" {
			n -= empty
		}
		t.Logf("%s: %d bytes", c.name, n)
		require.LessOrEqual(t, n, c.most, c.name)
	}
}

// TestCrashRecordsExceedMessage guards against messages between instances that grow beyond
// their limit in a storm of crashes, so that nothing they hold arrives.
func TestCrashRecordsExceedMessage(t *testing.T) {
	tracker := rcpoison.New(rcpoison.Config{Board: rcboard.New(), Instance: "i"})
	const upstreams, contents = 60, 20
	for u := range upstreams {
		up := radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprintf("i-%010x", u)), Incarnation: radishcrank.Incarnation(time.Now().UnixMilli())}
		var ends []func(crashed, finished bool)
		for c := range contents {
			end, err := tracker.StartRun(t.Context(), radishcrank.Request{Prompt: fmt.Sprint(u, "/", c)}, up)
			require.NoError(t, err)
			ends = append(ends, end)
		}
		for _, end := range ends {
			end(true, false)
		}
	}
	tracker.Convict([]rcpoison.Key{"k"})
	var exchange recordExchange
	update := peerUpdate{Crashes: exchange.next(tracker.Export(), time.Now())}
	_, err := rcrpc.Encode(update)
	require.NoError(t, err)
	require.NotEmpty(t, update.Crashes)
	sent := map[rcpoison.Key]bool{}
	for n := range 200 {
		for _, r := range exchange.next(tracker.Export(), time.Now().Add(time.Duration(n)*crashExchangeInterval)) {
			sent[r.Key] = true
		}
	}
	require.Len(t, sent, upstreams*contents+1, "all records are sent in turn")
}

// TestBacklogExceedsMessage guards against an instance from which nothing arrives any
// more, because what has queued up while its relay was unreachable is larger than a
// message and is queued again each time.
func TestBacklogExceedsMessage(t *testing.T) {
	all := newPeerGroups(30, 3)
	p := all[len(all)-1]
	require.False(t, p.isRelay())
	for i := range maxQueuedOrigins {
		p.origins.Record(rcorigin.Record{Attempt: radishcrank.RequestID(fmt.Sprintf("5f8d460c1%07x", i)), Origin: rcorigin.Origin{Service: "huvo11a", Software: "v1.1"}})
		p.queued.Cached = append(p.queued.Cached, rcfleet.CachedParts{Upstream: 1, Parts: []rcfleet.PartKey{1, 2, 3}})
	}
	origins, cachedParts := 0, 0
	for range maxQueuedOrigins {
		for _, u := range p.updatesLocked() {
			messages, lost := u.encode()
			require.Zero(t, lost)
			require.Len(t, messages, 1)
			origins, cachedParts = origins+len(u.Streams), cachedParts+len(u.Cached)
		}
	}
	require.Equal(t, maxQueuedOrigins, origins)
	require.Equal(t, maxQueuedOrigins, cachedParts)
}

// TestLargeTableExceedsMessage guards against loads and limits that are lost with a table
// of the store that does not fit into a message.
func TestLargeTableExceedsMessage(t *testing.T) {
	u := peerUpdate{
		Running: rcfleet.LoadReport{1: {Running: 1}}, Lease: 7,
		Feeds: []rcfeed.Batch{{Table: "large", Rows: []rcfeed.Row{{Value: make([]byte, rcrpc.MaxMessageBytes)}}}, {Table: "small"}},
	}
	messages, lost := u.encode()
	require.Equal(t, 1, lost)
	var received peerUpdate
	for _, m := range messages {
		var part peerUpdate
		require.NoError(t, json.Unmarshal(m, &part))
		received.Feeds = append(received.Feeds, part.Feeds...)
		received.Lease = max(received.Lease, part.Lease)
		if part.Running != nil {
			received.Running = part.Running
		}
	}
	u.Feeds = u.Feeds[1:]
	u.Running[1] = rcfleet.Load{Running: 1}
	require.Equal(t, u, received)
}
