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

// KVStore is the kept KV cache store that several engines share.
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

// leading returns the leading blocks that the store holds.
func (s *KVStore) leading(blocks []radishcrank.BlockHash) []radishcrank.BlockHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range blocks {
		if !s.blocks[b] {
			return blocks[:i]
		}
	}
	return blocks
}

// freeLoads is the number of engines that load at once without slowing each other.
const freeLoads = 2

// WeightLoads counts the weight loads under way in a fleet.
type WeightLoads struct {
	mu      sync.Mutex
	running int
}

// start returns how many times longer than alone a load that starts now takes.
func (l *WeightLoads) start() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	return max(1, float64(l.running)/freeLoads)
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
	stored, evicted := e.cache.store(e.cfg.KVStore.leading(list.Blocks))
	e.record(radishcrank.CacheStored, stored)
	e.record(radishcrank.CacheEvicted, evicted)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order radishcrank.Order
	if !decode(w, r, &order) {
		return
	}
	if !e.passFence(order.Fence) {
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

// passFence reports whether an order may run and remembers its fencing number.
func (e *Engine) passFence(fence uint64) bool {
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
