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
	loads := map[radishcrank.UpstreamID]rcfleet.Load{}
	for i := range 100 {
		loads[radishcrank.UpstreamID(fmt.Sprintf("i-%010x", i))] = rcfleet.Load{Running: 12, Prefilling: 12345}
	}
	parts := []radishcrank.PromptPart{{ID: "5c1e07a2", Tokens: 2520}, {ID: "91bd3f06", Tokens: 3780}}
	empty := size(peerUpdate{})
	for _, c := range []struct {
		name string
		n    peerUpdate
		most int
	}{
		{"empty message", peerUpdate{}, 100},
		{"100 loads", peerUpdate{Loads: loads}, 5000},
		{"hold", peerUpdate{Holds: []cachedParts{{Upstream: id, Salt: "daka510000/12", Parts: parts}}}, 150},
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
