package rcdecision

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Guards against data races and deadlocks between decisions, observations, board
// updates of the watcher, cache events, snapshots and the removal of an account,
// and against dispatches that are still counted as running after their end.
func TestConcurrentUse(t *testing.T) {
	const rounds = 200
	c, board := testChooser(8, nil)
	index := c.Index()
	work := []func(i int){
		func(i int) { chooseAndFail(c, i) },
		func(i int) { chooseAndFail(c, i+rounds) },
		func(i int) { restartAndReport(board, i) },
		func(i int) {
			id := radishcrank.UpstreamID(fmt.Sprintf("e%02d", i%8))
			event := radishcrank.CacheEvent{Seq: uint64(i + 1), Kind: radishcrank.CacheCleared}
			batch := radishcrank.CacheEventBatch{Incarnation: radishcrank.Incarnation(i / 20), First: 1, Events: []radishcrank.CacheEvent{event}}
			index.Resync(id, batch, board.Upstreams.Values()[0].Load.ReportedAt)
		},
		func(int) { index.Restore(index.TopEntries(16)) },
		func(int) { index.RemoveAccount("a") },
		func(i int) { c.Explain(testRequest(i, "rules ")) },
		func(i int) { c.PlanMigrations(radishcrank.UpstreamID(fmt.Sprintf("e%02d", i%8)), 100) },
	}
	var wg sync.WaitGroup
	for _, f := range work {
		wg.Go(func() {
			for i := range rounds {
				f(i)
			}
		})
	}
	wg.Wait()
	for id, e := range c.engines {
		require.Empty(t, e.running, "engine %s", id)
	}
}

func chooseAndFail(c *Chooser, i int) {
	req := testRequest(i, fmt.Sprint("text ", i%4))
	p, err := c.Choose(context.Background(), req, nil)
	if err != nil {
		return // All engines may be leaving at the same time.
	}
	c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken})
	c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure})
}

func restartAndReport(board *rcboard.Board, i int) {
	id := radishcrank.UpstreamID(fmt.Sprintf("e%02d", i%8))
	board.Upstreams.Update(id, func(up radishcrank.Upstream, ok bool) (radishcrank.Upstream, bool) {
		up.Incarnation++
		up.Leaving = i%3 == 0
		return up, ok
	})
}
