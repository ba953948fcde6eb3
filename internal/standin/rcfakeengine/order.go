package rcfakeengine

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

// KVStore is a KV store to which engines export cache blocks and from which they
// import them.
type KVStore struct {
	mu     sync.Mutex
	blocks map[radishcrank.BlockHash]bool
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore {
	return &KVStore{blocks: make(map[radishcrank.BlockHash]bool)}
}

func (s *KVStore) put(blocks []radishcrank.BlockHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range blocks {
		s.blocks[b] = true
	}
}

// storedPrefix returns the longest prefix of blocks that the store holds.
func (s *KVStore) storedPrefix(blocks []radishcrank.BlockHash) []radishcrank.BlockHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range blocks {
		if !s.blocks[b] {
			return blocks[:i]
		}
	}
	return blocks
}

// fullSpeedLoads is the number of engines that can load weights concurrently
// without slowing each other down.
const fullSpeedLoads = 2

// WeightLoads counts the concurrent loads of weights in a fleet.
type WeightLoads struct {
	mu      sync.Mutex
	running int
}

// start begins a load and returns the factor by which the concurrent loads slow it
// down.
func (l *WeightLoads) start() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	return max(1, float64(l.running)/fullSpeedLoads)
}

func (l *WeightLoads) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var list rcwire.BlockList
	if !decode(w, r, &list) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := slices.DeleteFunc(list.Blocks, func(b radishcrank.BlockHash) bool {
		_, ok := e.cache.entries[b]
		return !ok
	})
	e.cfg.KVStore.put(cached)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var list rcwire.BlockList
	if !decode(w, r, &list) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stored, evicted := e.cache.store(e.cfg.KVStore.storedPrefix(list.Blocks))
	e.recordEvent(radishcrank.CacheStored, stored)
	e.recordEvent(radishcrank.CacheEvicted, evicted)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order radishcrank.Order
	if !decode(w, r, &order) {
		return
	}
	if !e.checkFence(order.Fence) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	switch order.Kind {
	case radishcrank.OrderLoadWeights:
		factor := e.cfg.WeightLoads.start()
		defer e.cfg.WeightLoads.end()
		if !rcwait.Sleep(r.Context(), time.Duration(factor*float64(e.cfg.WeightLoadTime))) {
			return
		}
	case radishcrank.OrderLoadAdapter:
		if !rcwait.Sleep(r.Context(), e.cfg.AdapterLoadTime) {
			return
		}
	}
	e.apply(order)
}

// checkFence reports whether an order with this fencing number may run, and records
// the number if so.
func (e *Engine) checkFence(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *Engine) apply(order radishcrank.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch order.Kind {
	case radishcrank.OrderLoadWeights:
		e.weights[order.Model] = order.Weights
	case radishcrank.OrderLoadAdapter:
		if !slices.Contains(e.adapters, order.Adapter) {
			e.adapters = append(e.adapters, order.Adapter)
		}
	case radishcrank.OrderChangeRole:
		e.role = order.Role
	}
}
