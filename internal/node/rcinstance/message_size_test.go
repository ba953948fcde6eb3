package rcinstance

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
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
