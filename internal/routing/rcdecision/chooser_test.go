package rcdecision

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcprefix"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const blockBytes = 400

func testUpstream(id string) radishcrank.Upstream {
	return radishcrank.Upstream{
		ID:          radishcrank.UpstreamID(id),
		Role:        radishcrank.RoleEngine,
		Zone:        "z1",
		Incarnation: 1,
		Load: radishcrank.LoadReport{
			Incarnation:      1,
			Weights:          map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "w1"},
			CacheBlocks:      1000,
			PrefillPerSecond: 1000,
			DecodePerSecond:  50,
			MaxBatch:         8,
			ReportedAt:       time.Now(),
		},
	}
}

func testChooser(n int, change func(cfg *Config)) (*Chooser, *rcboard.Board) {
	board := rcboard.New()
	for i := range n {
		up := testUpstream(fmt.Sprintf("e%02d", i))
		board.Upstreams.Put(up.ID, up)
	}
	cfg := Config{Board: board, Instance: "i1", Zone: "z1", BlockBytes: func() int { return blockBytes }}
	if change != nil {
		change(&cfg)
	}
	return New(cfg), board
}

func testRequest(i int, pattern string) radishcrank.Request {
	return radishcrank.Request{
		ID:      radishcrank.RequestID(fmt.Sprintf("r%d", i)),
		Account: "a",
		Model:   "m",
		Prompt:  strings.Repeat(pattern, 4*blockBytes)[:4*blockBytes],
	}
}

// serveRequest places a request and observes its first token and its end.
func serveRequest(t *testing.T, c *Chooser, req radishcrank.Request) radishcrank.Placement {
	t.Helper()
	p, err := c.Choose(t.Context(), req, nil)
	require.NoError(t, err)
	c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken})
	c.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedDone})
	return p
}

func termOf(t *testing.T, p radishcrank.Placement, name string) time.Duration {
	t.Helper()
	for _, term := range p.Terms {
		if term.Name == name {
			return term.Value
		}
	}
	t.Fatalf("no term %s", name)
	return 0
}

// Guards against a repeated prefix that is sent to an engine that does not cache
// it, and against a predicted TTFT that is not the sum of its terms.
func TestRepeatedPrefixGoesToSameEngine(t *testing.T) {
	c, _ := testChooser(12, nil)
	first := serveRequest(t, c, testRequest(0, "rules "))
	require.Zero(t, first.CachedBlocks)
	for i := range 20 {
		p := serveRequest(t, c, testRequest(i+1, "rules "))
		require.Equal(t, first.Upstream.ID, p.Upstream.ID)
		require.Equal(t, 4, p.CachedBlocks)
		sum := time.Duration(0)
		for _, term := range p.Terms[:6] {
			sum += term.Value
		}
		require.Equal(t, p.PredictedTTFT, sum)
	}
}

// Guards against cache entries of an incarnation from before a restart that still
// attract requests.
func TestRestartInvalidatesCachedBlocks(t *testing.T) {
	c, board := testChooser(12, nil)
	first := serveRequest(t, c, testRequest(0, "rules "))
	up := first.Upstream
	up.Incarnation++
	board.Upstreams.Put(up.ID, up)
	require.Zero(t, serveRequest(t, c, testRequest(1, "rules ")).CachedBlocks)
}

// Guards against a request to an engine that is leaving, excluded or refused by
// the circuit breaker, and against a refusal with an outcome other than NotRun.
func TestIneligibleEnginesGetNoRequests(t *testing.T) {
	refused := refusedUpstreams{}
	c, board := testChooser(3, func(cfg *Config) { cfg.Breaker = refused })
	up, _ := board.Upstreams.Get("e00")
	up.Leaving = true
	board.Upstreams.Put(up.ID, up)
	refused["e01"] = true
	for i := range 50 {
		require.Equal(t, radishcrank.UpstreamID("e02"), serveRequest(t, c, testRequest(i, fmt.Sprint(i))).Upstream.ID)
	}
	_, err := c.Choose(t.Context(), testRequest(0, "x"), []radishcrank.UpstreamID{"e02"})
	var refusal *radishcrank.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, radishcrank.OutcomeNotRun, refusal.Outcome)
}

type refusedUpstreams map[radishcrank.UpstreamID]bool

func (r refusedUpstreams) Allow(id radishcrank.UpstreamID) (float64, bool) { return 1, !r[id] }

type slowStart map[radishcrank.UpstreamID]float64

func (s slowStart) Allow(id radishcrank.UpstreamID) (float64, bool) {
	if w, ok := s[id]; ok {
		return w, true
	}
	return 1, true
}

// Guards against an engine in slow start that gets its full share of requests or
// none.
func TestSlowStartReducesShare(t *testing.T) {
	c, _ := testChooser(2, func(cfg *Config) { cfg.Breaker = slowStart{"e00": 0.2} })
	n := 0
	for i := range 1000 {
		if serveRequest(t, c, testRequest(i, fmt.Sprint(i))).Upstream.ID == "e00" {
			n++
		}
	}
	require.InDelta(t, 100, n, 50)
}

// Guards against one hot prefix that overloads its engine: requests must go to
// other engines once waiting in the queue costs more than recomputing the prefix.
func TestHotPrefixSpreads(t *testing.T) {
	c, _ := testChooser(12, nil)
	perEngine := make(map[radishcrank.UpstreamID]int)
	for i := range 96 {
		p, err := c.Choose(t.Context(), testRequest(i, "rules "), nil)
		require.NoError(t, err)
		perEngine[p.Upstream.ID]++
	}
	for id, n := range perEngine {
		require.LessOrEqual(t, n, 10, "engine %s", id) // 96 requests / 12 engines * 1.25.
	}
}

// Guards against instances that all choose the same engine because their boards
// and indexes are equal.
func TestInstancesChooseDifferentEngines(t *testing.T) {
	chosen := make(map[radishcrank.UpstreamID]int)
	for i := range 100 {
		c, board := testChooser(8, func(cfg *Config) { cfg.Instance = radishcrank.InstanceID(fmt.Sprint(i)) })
		req := testRequest(0, "rules ")
		scope := radishcrank.CacheScope{Account: req.Account, Model: req.Model, Weights: "w1"}
		for _, up := range board.Upstreams.Values() {
			c.Index().SetUpstream(up)
			c.Index().Confirm(up, scope, rcprefix.Chain(scope, req.Prompt, blockBytes))
		}
		chosen[serveRequest(t, c, req).Upstream.ID]++
	}
	require.Greater(t, len(chosen), 6)
	for id, n := range chosen {
		require.Less(t, n, 30, "engine %s", id)
	}
}

// Guards against an engine that gets requests above the load bound because
// recomputing its hot prefix elsewhere would take even longer than waiting in its
// queue.
func TestHotPrefixStaysWithinLoadBound(t *testing.T) {
	c, board := testChooser(4, nil)
	for _, up := range board.Upstreams.Values() {
		up.Load.PrefillPerSecond = 1 // 400 s per prompt.
		board.Upstreams.Put(up.ID, up)
	}
	assigned := serveRequest(t, c, testRequest(0, "rules ")).Upstream
	assigned.Load.Running, assigned.Load.Waiting = 8, 2
	board.Upstreams.Put(assigned.ID, assigned)
	for i := range 20 {
		require.NotEqual(t, assigned.ID, serveRequest(t, c, testRequest(i+1, "rules ")).Upstream.ID)
	}
}

// Guards against a placement on the incarnation known to the board that counts
// the cached blocks of a newer one, which the index learned of first.
func TestHolderOfAnotherIncarnationDoesNotCount(t *testing.T) {
	c, board := testChooser(1, nil)
	first := serveRequest(t, c, testRequest(0, "rules "))
	newer := first.Upstream
	newer.Incarnation++
	c.Index().SetUpstream(newer)
	c.Index().Confirm(newer, radishcrank.CacheScope{Account: "a", Model: "m", Weights: "w1"}, first.CacheKeys)
	require.Zero(t, serveRequest(t, c, testRequest(1, "rules ")).CachedBlocks)
	board.Upstreams.Put(newer.ID, newer)
	require.Equal(t, 4, serveRequest(t, c, testRequest(2, "rules ")).CachedBlocks)
}

// Guards against a prefill queue estimate that ignores requests sent since the
// load report, counts them twice once a report includes them, or does not decrease
// over time.
func TestQueueFollowsReportAndDispatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, board := testChooser(1, nil)
		queue := func() time.Duration {
			return termOf(t, c.Explain(testRequest(99, "other "))[0].Placement, TermPrefillQueue)
		}
		require.Zero(t, queue())
		time.Sleep(time.Millisecond)
		_, err := c.Choose(t.Context(), testRequest(0, "rules "), nil) // 400 tokens, 400 ms.
		require.NoError(t, err)
		require.InDelta(t, 400*time.Millisecond, queue(), float64(5*time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		require.InDelta(t, 300*time.Millisecond, queue(), float64(5*time.Millisecond))
		up, _ := board.Upstreams.Get("e00")
		up.Load.ReportedAt, up.Load.QueuedTokens, up.Load.Running = time.Now(), 300, 1
		board.Upstreams.Put(up.ID, up)
		require.InDelta(t, 300*time.Millisecond, queue(), float64(5*time.Millisecond))
		time.Sleep(time.Second)
		require.Zero(t, queue())
	})
}

// Guards against requests to an engine whose load reports have stopped.
func TestEngineWithoutReportsIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, board := testChooser(2, nil)
		time.Sleep(20 * time.Second)
		up, _ := board.Upstreams.Get("e00")
		up.Load.ReportedAt = time.Now()
		board.Upstreams.Put(up.ID, up)
		silent, _ := board.Upstreams.Get("e01")
		silent.MissedReports = 4
		board.Upstreams.Put(silent.ID, silent)
		for i := range 20 {
			req := testRequest(i, fmt.Sprint(i))
			require.Equal(t, radishcrank.UpstreamID("e00"), serveRequest(t, c, req).Upstream.ID)
		}
	})
}

// fakeKVStore has the blocks of every prompt.
type fakeKVStore struct {
	importTime time.Duration
	imported   int
}

func (k *fakeKVStore) CachedPrefix(chain []radishcrank.BlockHash) int { return len(chain) }
func (k *fakeKVStore) ImportTime(int) time.Duration                   { return k.importTime }

func (k *fakeKVStore) Import(_ context.Context, _ radishcrank.Upstream, blocks []radishcrank.BlockHash) error {
	k.imported += len(blocks)
	return nil
}

// Guards against an import that takes longer than recomputing, and against one
// that is predicted but not carried out.
func TestImportsWhenFaster(t *testing.T) {
	for _, slow := range []bool{false, true} {
		store := &fakeKVStore{importTime: 50 * time.Millisecond}
		if slow {
			store.importTime = time.Second
		}
		c, _ := testChooser(2, func(cfg *Config) { cfg.KVStore = store })
		p := serveRequest(t, c, testRequest(0, "rules "))
		if slow {
			require.Zero(t, store.imported)
			require.Zero(t, termOf(t, p, TermImport))
			continue
		}
		require.Equal(t, 4, store.imported)
		require.Equal(t, store.importTime, p.PredictedTTFT)
	}
}

// Guards against an explanation that is recorded as a dispatch or leaves out a
// candidate.
func TestExplainDoesNotDispatch(t *testing.T) {
	c, _ := testChooser(12, nil)
	assigned := serveRequest(t, c, testRequest(0, "rules "))
	before := c.Explain(testRequest(1, "rules "))
	require.Equal(t, before, c.Explain(testRequest(1, "rules ")))
	require.GreaterOrEqual(t, len(before), 3)
	require.Equal(t, assigned.Upstream.ID, before[0].Upstream.ID)
	require.True(t, before[0].Chosen)
	require.True(t, before[0].Replica)
}

// Guards against several engines computing the same prefix at the same time,
// because the index learns of a prefix only with the first token.
func TestRequestsFollowPendingPrefix(t *testing.T) {
	c, _ := testChooser(12, nil)
	first, err := c.Choose(t.Context(), testRequest(0, "rules "), nil)
	require.NoError(t, err)
	second, err := c.Choose(t.Context(), testRequest(1, "rules "), nil)
	require.NoError(t, err)
	require.Equal(t, first.Upstream.ID, second.Upstream.ID)
	require.Less(t, termOf(t, second, TermPrefill), termOf(t, first, TermPrefill)/10)
}

// Guards against a fleet that is overloaded by repeated prefill: while all engines
// have a queue, a request must accept a longer wait for its cached prefix than
// while some are idle.
func TestCongestionRaisesRecomputeCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, board := testChooser(4, nil)
		cost := func() time.Duration {
			return termOf(t, c.Explain(testRequest(9, "rules "))[0].Placement, TermRecompute)
		}
		idleCost := cost()
		require.Positive(t, idleCost)
		for _, up := range board.Upstreams.Values() {
			up.Load.QueuedTokens = 1000 // One second of prefill.
			board.Upstreams.Put(up.ID, up)
		}
		require.InDelta(t, 3*idleCost, cost(), float64(time.Millisecond)) // 1 + 1 s / 500 ms
	})
}
