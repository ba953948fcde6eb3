// Package rcfakeengine implements a fake model engine for tests and the demo. It
// has a prefix cache with least-recently-used eviction, a batch of limited size,
// cache events, load reports and orders, and serves the engine's HTTP API.
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

// Config holds the parameters of a fake engine.
type Config struct {
	ID               radishcrank.UpstreamID
	Models           map[radishcrank.ModelID]radishcrank.WeightsVersion
	CacheBlocks      int     // Capacity of the prefix cache.
	BlockTokens      int     // Prompt tokens per block.
	BytesPerToken    int     // Prompt bytes per token.
	MaxBatch         int     // Maximum number of requests that run concurrently.
	PrefillPerSecond float64 // Prefill rate in prompt tokens per second, shared by the batch.
	DecodePerSecond  float64 // Tokens generated per second for each request.
	MaxAnswerTokens  int     // Upper limit and default of a request's max_tokens.
	ChecksFence      bool
	WeightLoadTime   time.Duration // Time to load weights while at most fullSpeedLoads engines load.
	AdapterLoadTime  time.Duration // Time to load an adapter.
	Adapters         []string      // Adapters that are loaded at the start.
	KVStore          *KVStore      // Shared by the engines of an availability zone; nil creates a store for this engine.
	WeightLoads      *WeightLoads  // Shared by the engines of a fleet; nil counts only the loads of this engine.
}

// Engine is a fake engine.
type Engine struct {
	cfg Config

	mu            sync.Mutex
	incarnation   radishcrank.Incarnation
	weights       map[radishcrank.ModelID]radishcrank.WeightsVersion
	cache         *blockCache
	events        []radishcrank.CacheEvent
	nextSeq       uint64
	running       int
	waiters       waiterHeap
	arrivals      uint64
	prefillFreeAt time.Time // Time at which all prefill accepted so far ends.
	fence         uint64
	adapters      []string
	role          string
	runs          map[runKey]context.CancelFunc
	crashed       chan struct{} // Closed when this incarnation crashes.
	faults        Faults
}

// Faults selects the faults that an engine injects. A stream has the faults that
// were set when its request was accepted.
type Faults struct {
	DropAfter   int    // Breaks each stream off after this many tokens, without a finish reason; 0 disables it.
	Stall       bool   // Streams stay open but send nothing.
	StallAfter  int    // Streams stall after this many tokens; 0 disables it.
	DropEvents  bool   // Cache events use up sequence numbers but are not kept.
	CrashPrompt string // Running this prompt crashes the engine; empty disables it.
	WrongOrder  bool   // The second token of each stream has the index of the first.
	EmptyAnswer bool   // Streams finish without sending a token.
}

// runKey identifies one run of a request.
type runKey struct {
	requestID radishcrank.RequestID
	attempt   uint64
	seq       uint64 // Distinguishes runs with the same request ID and attempt.
}

// New returns a fake engine with an empty cache.
func New(cfg Config) *Engine {
	if cfg.KVStore == nil {
		cfg.KVStore = NewKVStore()
	}
	if cfg.WeightLoads == nil {
		cfg.WeightLoads = &WeightLoads{}
	}
	e := &Engine{cfg: cfg, runs: make(map[runKey]context.CancelFunc)}
	e.reset()
	return e
}

// Crash simulates a crash and restart of the engine: the cache is lost, running
// requests are aborted, and a new incarnation starts.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) reset() {
	// The start time gives each incarnation a higher number without persistent state.
	e.incarnation = max(e.incarnation+1, radishcrank.Incarnation(time.Now().UnixNano()))
	e.weights = make(map[radishcrank.ModelID]radishcrank.WeightsVersion, len(e.cfg.Models))
	for m, w := range e.cfg.Models {
		e.weights[m] = w
	}
	e.cache = newBlockCache(e.cfg.CacheBlocks)
	e.events, e.nextSeq = nil, 1
	e.prefillFreeAt = time.Time{}
	e.adapters = slices.Clone(e.cfg.Adapters)
	e.role = ""
	if e.crashed != nil {
		close(e.crashed)
	}
	e.crashed = make(chan struct{})
}

// LoadReport returns the engine's current load.
func (e *Engine) LoadReport() radishcrank.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	weights := make(map[radishcrank.ModelID]radishcrank.WeightsVersion, len(e.weights))
	for m, w := range e.weights {
		weights[m] = w
	}
	backlog := max(0, time.Until(e.prefillFreeAt))
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

// Events returns the retained cache events with sequence numbers of at least from.
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

// acquireSlot waits for a slot in the batch. Waiting requests are served by
// priority, highest first.
func (e *Engine) acquireSlot(ctx context.Context, priority radishcrank.Priority) error {
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
	e.releaseSlotLocked()
	return ctx.Err()
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked()
}

func (e *Engine) releaseSlotLocked() {
	if len(e.waiters) > 0 {
		w := heap.Pop(&e.waiters).(*waiter)
		close(w.ready)
		return
	}
	e.running--
}

// prefill looks the prompt up in the cache, stores its blocks and returns the
// number of cached tokens and the time at which the prefill of the rest ends.
func (e *Engine) prefill(promptTokens int, keys []radishcrank.BlockHash) (cached int, done time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.touch(keys)
	cached = min(hits*e.cfg.BlockTokens, promptTokens)
	missing := promptTokens - cached
	start := time.Now()
	if e.prefillFreeAt.After(start) {
		start = e.prefillFreeAt
	}
	e.prefillFreeAt = start.Add(time.Duration(float64(missing) / e.cfg.PrefillPerSecond * float64(time.Second)))
	stored, evicted := e.cache.store(keys[hits:])
	e.recordEvent(radishcrank.CacheStored, stored)
	e.recordEvent(radishcrank.CacheEvicted, evicted)
	return cached, e.prefillFreeAt
}

// maxEvents is the number of cache events that an engine retains.
const maxEvents = 4096

func (e *Engine) recordEvent(kind radishcrank.CacheEventKind, blocks []radishcrank.BlockHash) {
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

// TokenText returns the text of the token at index in the response to a prompt. It
// depends only on the arguments, so that tests can verify that a response is
// complete and in order.
func TokenText(prompt string, weights radishcrank.WeightsVersion, index int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s|%s|%d", prompt, weights, index)
	return fmt.Sprintf(" w%06x", h.Sum32()&0xffffff)
}
