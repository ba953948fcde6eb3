// Package rcfakeengine is a small stand-in of a model engine: a prefix cache
// with least-recently-used eviction, a batch of limited size, cache events,
// load reports and orders, behind the engine's HTTP API.
package rcfakeengine

import (
	"container/heap"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Config holds the parameters of a stand-in engine.
type Config struct {
	ID               radishcrank.UpstreamID
	Models           map[radishcrank.ModelID]radishcrank.WeightsVersion
	CacheBlocks      int     // Capacity of the prefix cache.
	BlockTokens      int     // Prompt tokens in one block.
	BytesPerToken    int     // Prompt bytes counted as one token.
	MaxBatch         int     // Requests that run at once.
	PrefillPerSecond float64 // Prompt tokens prefilled a second, shared by the batch.
	DecodePerSecond  float64 // Tokens generated a second for one request.
	MaxAnswerTokens  int     // Length of an answer when the request sets none.
	ChecksFence      bool
	WeightLoadTime   time.Duration // Time to load new weights while at most two engines load.
	AdapterLoadTime  time.Duration // Time to load an adapter.
	Adapters         []string      // Loaded from the start.
	KVStore          *KVStore      // Shared by the engines of a zone; nil gives the engine its own.
	WeightLoads      *WeightLoads  // Shared by all engines; nil counts this engine alone.
}

// Engine is a running stand-in engine.
type Engine struct {
	cfg Config

	mu          sync.Mutex
	incarnation radishcrank.Incarnation
	weights     map[radishcrank.ModelID]radishcrank.WeightsVersion
	cache       *blockCache
	events      []radishcrank.CacheEvent
	nextSeq     uint64
	running     int
	waiters     waiterHeap
	arrivals    uint64
	prefillFree time.Time // When the prefill unit is free again.
	fence       uint64
	adapters    []string
	role        string
	runs        map[run]context.CancelFunc
	crashed     chan struct{} // Closed by a crash of this incarnation.
	faults      Faults
}

// Faults are switches that tests and the demo set on an engine.
type Faults struct {
	DropAfter   int    // Ends each stream without a finish after this many tokens; 0 is off.
	Stall       bool   // Streams stop producing anything but stay open.
	StallAfter  int    // The same after this many tokens; 0 is off.
	DropEvents  bool   // Cache events get sequence numbers but are lost.
	CrashPrompt string // The engine crashes when it runs this prompt.
	WrongOrder  bool   // Each stream repeats its second token.
	EmptyAnswer bool   // Streams finish without a token.
}

// run identifies one run of a request.
type run struct {
	id      radishcrank.RequestID
	attempt uint64
	seq     uint64 // Tells apart runs whose requests carry the same numbers.
}

// New returns a stand-in engine with an empty cache.
func New(cfg Config) *Engine {
	if cfg.KVStore == nil {
		cfg.KVStore = NewKVStore()
	}
	if cfg.WeightLoads == nil {
		cfg.WeightLoads = &WeightLoads{}
	}
	e := &Engine{cfg: cfg, runs: make(map[run]context.CancelFunc)}
	e.reset()
	return e
}

// Crash loses the cache and the running work and starts a new incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) reset() {
	// Start times give each incarnation a higher number without storage.
	e.incarnation = max(e.incarnation+1, radishcrank.Incarnation(time.Now().UnixNano()))
	e.weights = make(map[radishcrank.ModelID]radishcrank.WeightsVersion, len(e.cfg.Models))
	for m, w := range e.cfg.Models {
		e.weights[m] = w
	}
	e.cache = newBlockCache(e.cfg.CacheBlocks)
	e.events, e.nextSeq = nil, 1
	e.prefillFree = time.Time{}
	e.adapters = slices.Clone(e.cfg.Adapters)
	e.role = ""
	if e.crashed != nil {
		close(e.crashed)
	}
	e.crashed = make(chan struct{})
}

// LoadReport returns the engine's load now.
func (e *Engine) LoadReport() radishcrank.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	weights := make(map[radishcrank.ModelID]radishcrank.WeightsVersion, len(e.weights))
	for m, w := range e.weights {
		weights[m] = w
	}
	backlog := max(0, time.Until(e.prefillFree))
	return radishcrank.LoadReport{
		Incarnation:      e.incarnation,
		Weights:          weights,
		Adapters:         slices.Clone(e.adapters),
		Role:             e.role,
		Running:          e.running,
		Waiting:          len(e.waiters),
		QueuedTokens:     int(backlog.Seconds() * e.cfg.PrefillPerSecond),
		CacheBlocks:      e.cfg.CacheBlocks,
		CacheUsed:        e.cache.len(),
		PrefillPerSecond: e.cfg.PrefillPerSecond,
		DecodePerSecond:  e.cfg.DecodePerSecond,
		MaxBatch:         e.cfg.MaxBatch,
		ReportedAt:       time.Now(),
	}
}

// Events returns the cache events from a sequence number on.
func (e *Engine) Events(from uint64) radishcrank.CacheEventBatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := radishcrank.CacheEventBatch{Incarnation: e.incarnation, First: e.nextSeq}
	if len(e.events) > 0 {
		batch.First = e.events[0].Seq
	}
	for _, event := range e.events {
		if event.Seq >= from {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch
}

// acquire waits for a place in the batch; a higher priority goes first.
func (e *Engine) acquire(ctx context.Context, priority radishcrank.Priority) error {
	e.mu.Lock()
	if e.running < e.cfg.MaxBatch {
		e.running++
		e.mu.Unlock()
		return nil
	}
	e.arrivals++
	w := &waiter{priority: priority, arrival: e.arrivals, ready: make(chan struct{})}
	heap.Push(&e.waiters, w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&e.waiters, w.index)
		return ctx.Err()
	}
	e.releaseLocked()
	return ctx.Err()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

func (e *Engine) releaseLocked() {
	if len(e.waiters) > 0 {
		w := heap.Pop(&e.waiters).(*waiter)
		close(w.ready)
		return
	}
	e.running--
}

// prefill looks the prompt up in the cache, stores its blocks and returns the
// cached tokens and the time at which the prefill of the rest ends.
func (e *Engine) prefill(promptTokens int, keys []radishcrank.BlockHash) (cached int, done time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.touch(keys)
	cached = min(hits*e.cfg.BlockTokens, promptTokens)
	missing := promptTokens - cached
	start := time.Now()
	if e.prefillFree.After(start) {
		start = e.prefillFree
	}
	e.prefillFree = start.Add(time.Duration(float64(missing) / e.cfg.PrefillPerSecond * float64(time.Second)))
	stored, evicted := e.cache.store(keys[hits:])
	e.record(radishcrank.CacheStored, stored)
	e.record(radishcrank.CacheEvicted, evicted)
	return cached, e.prefillFree
}

const maxEvents = 4096

func (e *Engine) record(kind radishcrank.CacheEventKind, blocks []radishcrank.BlockHash) {
	if len(blocks) == 0 {
		return
	}
	seq := e.nextSeq
	e.nextSeq++
	if e.faults.DropEvents {
		return
	}
	e.events = append(e.events, radishcrank.CacheEvent{Seq: seq, Kind: kind, Blocks: blocks})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

// TokenText returns the text of one token of the answer to a prompt. It depends
// on nothing else, so that tests can tell whether an answer is complete and in order.
func TokenText(prompt string, weights radishcrank.WeightsVersion, index int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s|%s|%d", prompt, weights, index)
	return fmt.Sprintf(" w%06x", h.Sum32()&0xffffff)
}
