package rcinstance

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// TestBytesOfNews guards against entries of messages that grow beyond the sizes
// that docs/CAPACITY.md counts with.
func TestBytesOfNews(t *testing.T) {
	const (
		id = "i-993fe1b7b8"
	)
	size := func(n news) int {
		text, err := json.Marshal(n)
		require.NoError(t, err)
		return len(text)
	}
	loads := map[radishcrank.UpstreamID]rcfleet.Load{}
	for i := range 100 {
		loads[radishcrank.UpstreamID(fmt.Sprintf("i-%010x", i))] = rcfleet.Load{Running: 12, Prefilling: 12345}
	}
	parts := []radishcrank.PromptPart{{ID: "5c1e07a2", Tokens: 2520}, {ID: "91bd3f06", Tokens: 3780}}
	empty := size(news{})
	for _, c := range []struct {
		name string
		n    news
		most int
	}{
		{"empty message", news{}, 100},
		{"100 loads", news{Loads: loads}, 5000},
		{"hold", news{Holds: []hold{{Upstream: id, Salt: "daka510000/12", Parts: parts}}}, 150},
	} {
		n := size(c.n)
		if c.name != "empty message" {
			n -= empty
		}
		t.Logf("%s: %d bytes", c.name, n)
		require.LessOrEqual(t, n, c.most, c.name)
	}
}
