package rcfakeengine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

func newEngine(id radishcrank.UpstreamID, store *KVStore, loads *WeightLoads) *Engine {
	return New(Config{
		ID: id, Models: map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "w1"}, ChecksFence: true,
		CacheBlocks: 4, BlockTokens: 1, BytesPerToken: 1, MaxBatch: 1, PrefillPerSecond: 1000, DecodePerSecond: 1000,
		MaxAnswerTokens: 2, WeightLoadTime: time.Second, AdapterLoadTime: time.Second, KVStore: store, WeightLoads: loads,
	})
}

func post(e *Engine, path string, message any) int {
	body, _ := json.Marshal(message)
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	return w.Code
}

// Guards against a fake engine that loads weights at full speed however many
// engines load concurrently. With it, a fleet-wide limit on loads would show no
// effect.
func TestConcurrentWeightLoadsAreSlower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := &WeightLoads{}
		start := time.Now()
		took := make(chan time.Duration, 4)
		for range 4 {
			go func() {
				post(newEngine("e", nil, loads), rcwire.PathOrders, radishcrank.Order{Kind: radishcrank.OrderLoadWeights, Model: "m", Weights: "w2"})
				took <- time.Since(start)
			}()
		}
		for _, want := range []time.Duration{1000, 1000, 1500, 2000} {
			require.Equal(t, want*time.Millisecond, <-took)
		}
	})
}

// Guards against a fake engine that executes orders with an old fencing number, and
// against one that ignores valid orders.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine("e", nil, nil)
		require.Equal(t, http.StatusOK, post(e, rcwire.PathOrders, radishcrank.Order{Fence: 2, Kind: radishcrank.OrderLoadAdapter, Adapter: "ad"}))
		require.Equal(t, http.StatusConflict, post(e, rcwire.PathOrders, radishcrank.Order{Fence: 1, Kind: radishcrank.OrderChangeRole, Role: radishcrank.RoleStandby}))
		require.Empty(t, e.LoadReport().Role)
		req := rcwire.CompletionRequest{Model: "m", Prompt: "p", Extension: rcwire.RequestExtension{RequestID: "r", Weights: "w1", Adapter: "ad"}}
		require.Equal(t, http.StatusOK, post(e, rcwire.PathCompletions, req))
		require.Equal(t, http.StatusOK, post(e, rcwire.PathOrders, radishcrank.Order{Fence: 2, Kind: radishcrank.OrderChangeRole, Role: radishcrank.RoleStandby}))
		require.Equal(t, http.StatusServiceUnavailable, post(e, rcwire.PathCompletions, req))
		require.Equal(t, []string{"ad"}, e.LoadReport().Adapters)
		e.Crash()
		require.Empty(t, e.LoadReport().Adapters)
	})
}

// Guards against imports of blocks that no engine exported, and against exports
// that are not visible to other engines.
func TestKVStoreIsShared(t *testing.T) {
	store := NewKVStore()
	a, b := newEngine("a", store, nil), newEngine("b", store, nil)
	blocks := []radishcrank.BlockHash{{1}, {2}, {3}}
	a.cache.store(blocks[:2])
	post(a, rcwire.PathExport, rcwire.BlockList{Blocks: blocks})
	post(b, rcwire.PathImport, rcwire.BlockList{Blocks: blocks})
	require.Equal(t, 2, b.LoadReport().CacheUsed)
	require.Len(t, b.Events(0).Events, 1)
}
