package rcweights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestLaterTargetKeepsEarlierDeadline guards against weights that stay in use
// beyond their deadline because newer targets are set repeatedly.
func TestLaterTargetKeepsEarlierDeadline(t *testing.T) {
	start := time.Now()
	var h History
	h, _ = h.Add("1", start)
	h, _ = h.Add("2", start.Add(time.Second))
	h, _ = h.Add("3", start.Add(5*time.Second))
	at, ok := h.ReplacedAt("1")
	require.True(t, ok)
	require.Equal(t, start.Add(time.Second), at)
	at, ok = h.ReplacedAt("2")
	require.True(t, ok)
	require.Equal(t, start.Add(5*time.Second), at)
	_, ok = h.ReplacedAt("3")
	require.False(t, ok)
}

// TestOldTargetIsIgnored guards against a repeated read of the table that
// changes the time at which weights became the target.
func TestOldTargetIsIgnored(t *testing.T) {
	start := time.Now()
	var h History
	h, added := h.Add("10", start)
	require.True(t, added)
	for _, w := range []radishcrank.WeightsVersion{"10", "9"} {
		_, added = h.Add(w, start.Add(time.Second))
		require.False(t, added, "weights %s", w)
	}
	require.Equal(t, radishcrank.WeightsVersion("10"), h.Newest())
}

// TestAddDoesNotModifySharedHistory guards against an Add that writes into the
// array of a history that another goroutine reads.
func TestAddDoesNotModifySharedHistory(t *testing.T) {
	var h History
	h, _ = h.Add("1", time.Now())
	a, _ := h.Add("2", time.Now())
	b, _ := h.Add("3", time.Now())
	require.Equal(t, radishcrank.WeightsVersion("2"), a.Newest())
	require.Equal(t, radishcrank.WeightsVersion("3"), b.Newest())
}
