package rcindex

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

func stored(seq uint64, blocks ...radishcrank.BlockHash) radishcrank.CacheEvent {
	return radishcrank.CacheEvent{Seq: seq, Kind: radishcrank.CacheStored, Blocks: blocks}
}

func batchOf(first uint64, events ...radishcrank.CacheEvent) radishcrank.CacheEventBatch {
	return radishcrank.CacheEventBatch{Incarnation: 1, First: first, Events: events}
}

// Guards against a gap that is not reported, against entries from before a gap that
// keep the same confidence as those after it, and against a short gap that lowers
// confidence too much: a lost event can have evicted only as many blocks as events
// usually name.
func TestGapLowersConfidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(Config{})
		addUpstream(x, "u", 0) // A cache of 100 blocks.
		chain := chainOf("c", 2)
		confidence := func(i int) float64 { return x.Lookup(testScope, chain[i:i+1], nil)[0].Confidence }
		require.Equal(t, EventProgress{NextSeq: 2}, x.Apply("u", batchOf(1, stored(1, chain[0])), time.Now()))
		time.Sleep(time.Second)
		require.Equal(t, EventProgress{NextSeq: 12, Gap: true}, x.Apply("u", batchOf(1, stored(11, chain[1])), time.Now()))
		require.InDelta(t, 0.91, confidence(0), 0.005) // 9 lost events of one block.
		require.InDelta(t, 1, confidence(1), 0.005)
		time.Sleep(time.Second)
		require.Equal(t, EventProgress{NextSeq: 22, Gap: true}, x.Apply("u", batchOf(22), time.Now()))
		require.InDelta(t, 0.91*0.90, confidence(0), 0.005)
		require.InDelta(t, 0.90, confidence(1), 0.005)
		require.True(t, x.Apply("u", batchOf(1<<40), time.Now()).Gap)
		require.InDelta(t, 0.91*0.90*maxGapLoss, confidence(0), 0.005)

		// A resync confirms the blocks that it names.
		time.Sleep(time.Second)
		x.Resync("u", batchOf(1<<40-1, stored(1<<40-1, chain[0])), time.Now())
		require.InDelta(t, 1, confidence(0), 0.005)
		for range 10 * maxGaps {
			time.Sleep(time.Second)
			x.Apply("u", batchOf(x.NextSeq("u")+1), time.Now())
		}
		require.Len(t, *x.registry.byID["u"].gaps.Load(), maxGaps)
		require.InDelta(t, (1-maxGapLoss)*math.Pow(0.99, maxGaps-1), confidence(0), 0.005)
	})
}

// Guards against a confidence that ignores the engine's eviction rate, or that
// decays although the event stream shows that nothing was evicted.
func TestConfidenceDecaysWithEvictions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(Config{})
		slow, fast := addUpstream(x, "slow", 0), addUpstream(x, "fast", 10)
		observed := addUpstream(x, "observed", 10)
		chain := chainOf("c", 1)
		for _, up := range []radishcrank.Upstream{slow, fast, observed} {
			x.Confirm(up, testScope, chain)
		}
		time.Sleep(20 * time.Second)
		x.Apply("observed", batchOf(1), time.Now())
		confidence := make(map[radishcrank.UpstreamID]float64)
		for _, h := range x.Lookup(testScope, chain, nil) {
			confidence[h.Upstream] = h.Confidence
		}
		require.InDelta(t, 1, confidence["slow"], 0.01)
		require.InDelta(t, 0.135, confidence["fast"], 0.01) // exp(-20 s * 10/s / 100 blocks)
		require.InDelta(t, 1, confidence["observed"], 0.01)
	})
}

// Guards against entries of a snapshot that are restored at full confidence, or
// used before the upstream's incarnation is known.
func TestRestoreLowersConfidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := New(Config{})
		up := addUpstream(old, "u", 0)
		chain := chainOf("c", 3)
		old.Confirm(up, testScope, chain)
		entries := old.TopEntries(2)
		require.Len(t, entries, 2)
		require.Equal(t, chain[0], entries[0].Block)

		x := New(Config{})
		x.Restore(entries)
		require.Empty(t, x.Lookup(testScope, chain, nil))
		addUpstream(x, "u", 0)
		h := x.Lookup(testScope, chain, nil)
		require.Len(t, h, 1)
		require.Equal(t, 2, h[0].Blocks)
		require.InDelta(t, restoreFactor, h[0].Confidence, 0.01)

		restarted := New(Config{})
		restarted.Restore(entries)
		up.Incarnation++
		restarted.SetUpstream(up)
		require.Empty(t, restarted.Lookup(testScope, chain, nil))
	})
}
