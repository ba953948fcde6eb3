package rcretry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Guards against a restored breaker that replaces the instance's own breaker,
// against restored breakers that never close again, and against breakers that are
// not restored.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := rcboard.New()
		r := New(Config{Board: board})
		r.Restore(map[radishcrank.UpstreamID]rcboard.Breaker{"seen": {State: HalfOpen, ChangedAt: time.Now()}})
		openCap := r.settings().MaxOpenDuration
		r.Restore(map[radishcrank.UpstreamID]rcboard.Breaker{
			"seen":   {State: Open, Failures: 9, ChangedAt: time.Now()},
			"open":   {State: Open, Failures: 3, ChangedAt: time.Now()},
			"closed": {State: Closed, ChangedAt: time.Now()},
			"old":    {State: Open, ChangedAt: time.Now().Add(-openCap - time.Second)},
		})
		rows := board.Breakers.Snapshot()
		require.Len(t, rows, 2)
		require.Equal(t, HalfOpen, rows["seen"].State)
		require.Equal(t, Open, rows["open"].State)
		require.Equal(t, 3, rows["open"].Failures)
	})
}
