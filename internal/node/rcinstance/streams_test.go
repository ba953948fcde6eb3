package rcinstance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
)

// TestOnlyVersionIsNotUsed guards against clients that do not name the attempt that began
// their stream and are refused although the service has one software version, and
// against taking the version that is listed now for the one that began the stream.
func TestOnlyVersionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streamTime = 6 * time.Second
		p := newPeerGroups(1, 1)[0]
		entry := func(id radishcrank.UpstreamID, version radishcrank.SoftwareVersion) rcfleet.Entry {
			return rcfleet.Entry{Upstream: radishcrank.Upstream{ID: id, Service: "s", Software: version}}
		}
		p.instance.fleet.Replace([]rcfleet.Entry{entry("a0", "a"), entry("a1", "a")})
		known := func(attempt radishcrank.RequestID) bool {
			q := rcorigin.Query{Attempt: attempt, Service: "s", Within: streamTime}
			answer, err := p.origins.handleQuery(t.Context(), rcrpc.Identity{}, q)
			require.NoError(t, err)
			o, found := p.origins.Find(t.Context(), q)
			require.Equal(t, answer.Known, found)
			require.Equal(t, answer.Origin, o)
			return found
		}
		require.False(t, known(""), "another version may have left before the list was known")
		time.Sleep(streamTime)
		require.True(t, known(""))
		p.instance.fleet.Put(entry("b0", "b"))
		require.False(t, known(""))
		p.instance.fleet.Remove("b0")
		require.False(t, known(""), "the stream may have begun at an upstream that has just left")
		p.origins.Record(rcorigin.Record{Attempt: "r0", Origin: rcorigin.Origin{Service: "s", Software: "b"}})
		require.True(t, known("r0"))
		time.Sleep(streamTime)
		require.True(t, known(""))
		p.instance.fleet.Replace([]rcfleet.Entry{entry("a0", "")})
		time.Sleep(streamTime)
		require.False(t, known(""), "entries without a version")
	})
}
