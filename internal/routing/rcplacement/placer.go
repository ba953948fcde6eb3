// Package rcplacement maps prompt prefixes to engines without shared state, by
// rendezvous hashing with bounded loads. Instances that know the same engines
// assign a prefix to the same engine, whatever traffic they have seen before.
//
// A block chain is a path in a tree of shared prefixes. A subtree is assigned to
// the first engines in the rendezvous order of its root, as many as its load
// requires. Each level selects among the engines of the level above, so a shared
// prefix is computed on few engines, while the deeper prefix of a single caller
// stays on one. An instance without load counters uses the first engine of the
// first level, which is among those that its peers use.
package rcplacement

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

const (
	// DefaultLoadPerReplica is the load of one subtree assigned to one engine, in
	// engine-seconds per second. The remaining capacity serves other prefixes, and
	// absorbs a rising load for the seconds until it shows in the counters.
	DefaultLoadPerReplica = 0.5

	// LoadFactor bounds the load of an engine relative to the mean. An engine
	// above the bound is skipped, but not before its batch is full. At 90% of the
	// fleet's capacity, queue lengths differ by a quarter by chance, and a factor
	// of 1.25 moved the contexts of callers between engines: p99 TTFT was 7.7 to
	// 19.0 s over three seeds of the Riga evaluation, against 6.4 to 15.3 s.
	LoadFactor = 2

	maxReplicas  = 8 // Limit on Placement.Replicas; more make a decision slow.
	maxFallbacks = 4 // Limit on Placement.Fallbacks.

	// minKnownUses is the decayed number of requests from which on a prefix counts
	// as known.
	minKnownUses = 1.5
)

// Config holds the parameters of a Placer.
type Config struct {
	// Instances returns the number of live instances that send requests to the
	// same engines; nil means one. Each is assumed to handle the same load.
	Instances func() int
	// LoadPerReplica returns the load of one subtree assigned to one engine, in
	// engine-seconds per second; nil means DefaultLoadPerReplica.
	LoadPerReplica func() float64
}

// Engine is an engine that prefixes can be assigned to.
type Engine struct {
	Key      uint64  // As returned by EngineKey.
	Load     float64 // Known number of running and waiting requests.
	MaxBatch float64 // Maximum number of requests in a batch.
}

// EngineKey returns the rendezvous key of an upstream.
func EngineKey(id radishcrank.UpstreamID) uint64 { return xxhash.Sum64String(string(id)) }

// Placer assigns prefixes to engines.
type Placer struct {
	cfg      Config
	counters counters
}

// New returns a Placer without recorded load.
func New(cfg Config) *Placer {
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	if cfg.LoadPerReplica == nil {
		cfg.LoadPerReplica = func() float64 { return DefaultLoadPerReplica }
	}
	p := &Placer{cfg: cfg}
	p.counters.init(time.Now())
	return p
}

// RecordRequest adds a request to the load counters of the subtrees of its
// chain. cost is the time that the request occupies one engine.
func (p *Placer) RecordRequest(chain []radishcrank.BlockHash, cost time.Duration) {
	now := time.Now()
	for i := range levels(len(chain)) {
		p.counters.add(levelKey(&chain[i]), cost.Seconds(), now)
	}
}

// LoadBound returns the load from which on Place skips an engine.
func LoadBound(engines []Engine) float64 {
	if len(engines) == 0 {
		return 0
	}
	sum := 0.0
	for i := range engines {
		sum += engines[i].Load
	}
	return math.Ceil(LoadFactor * (sum + 1) / float64(len(engines)))
}

// Overloaded reports whether another request would exceed both the bound and the
// engine's batch size.
func (e *Engine) Overloaded(bound float64) bool { return e.Load+1 > max(bound, e.MaxBatch) }

// Placement is the result of assigning a chain to engines.
type Placement struct {
	// Replicas are the indexes of the engines that the chain is assigned to, the
	// preferred one first. Of more than maxReplicas it holds a subset selected by
	// the seed.
	Replicas []int
	// Fallbacks are further engines of the parent subtree, which probably hold the
	// shared part of the chain.
	Fallbacks []int
	// KnownBlocks is the number of leading blocks that this instance has recently
	// assigned several times. Other instances have assigned them to the same
	// engines.
	KnownBlocks int
}

// Place assigns a chain to engines. Engines that are unusable or above the load
// bound are skipped in favor of the next ones in the rendezvous order, unless
// none is left. usable may be nil; it is called only for engines that would be
// selected. The result reuses the slices of reuse.
func (p *Placer) Place(chain []radishcrank.BlockHash, engines []Engine, usable func(i int) bool, seed uint64, reuse Placement) (result Placement) {
	if len(chain) == 0 || len(engines) == 0 {
		return Placement{Replicas: reuse.Replicas[:0], Fallbacks: reuse.Fallbacks[:0]}
	}
	bound := LoadBound(engines)
	s := selectionPool.Get().(*selection)
	defer selectionPool.Put(s)
	s.reset(engines, func(i int) bool { return !engines[i].Overloaded(bound) && (usable == nil || usable(i)) })
	now := time.Now()
	instances := max(1, p.cfg.Instances())
	for i := range levels(len(chain)) {
		key := levelKey(&chain[i])
		load, seen := p.counters.load(key, instances, now)
		if seen >= minKnownUses {
			result.KnownBlocks = i + 1
		}
		if len(s.selected) > 1 {
			s.narrow(key, p.replicasFor(load))
		}
	}
	replicas := min(len(s.selected), maxReplicas)
	if replicas < len(s.selected) {
		rescore(s.selected, engines, seed)
		selectTop(s.selected, replicas)
	}
	result.Replicas = appendOrdered(reuse.Replicas[:0], s.selected[:replicas])
	fallbacks := min(len(s.fallbacks), maxFallbacks)
	rescore(s.fallbacks, engines, seed)
	selectTop(s.fallbacks, fallbacks)
	result.Fallbacks = appendOrdered(reuse.Fallbacks[:0], s.fallbacks[:fallbacks])
	return result
}

// appendOrdered appends the engines to out by falling score.
func appendOrdered(out []int, scored []scoredEngine) []int {
	slices.SortFunc(scored, compareScored)
	for _, e := range scored {
		out = append(out, e.engine)
	}
	return out
}

// replicasFor returns the number of engines that a load requires.
func (p *Placer) replicasFor(load float64) int {
	return max(1, int(math.Ceil(load/p.cfg.LoadPerReplica())))
}

// ReplicaCount returns the number of engines that the first level of a chain is
// assigned to.
func (p *Placer) ReplicaCount(chain []radishcrank.BlockHash) int {
	if len(chain) == 0 {
		return 0
	}
	load, _ := p.counters.load(levelKey(&chain[0]), max(1, p.cfg.Instances()), time.Now())
	return p.replicasFor(load)
}

// MixHash is the finalizer of SplitMix64: each bit of x affects all bits of the
// result.
func MixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func levelKey(h *radishcrank.BlockHash) uint64 { return binary.LittleEndian.Uint64(h[:]) }

// levels yields the block indexes of a chain of n blocks that count as levels of
// the prefix tree: the first blocks, then depths that grow by about half, and the
// last block. Their number is logarithmic in n, so small blocks do not make
// decisions slow.
func levels(n int) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		if n == 0 {
			return
		}
		depth := 1
		for depth < n {
			if !yield(depth - 1) {
				return
			}
			depth += max(1, depth/2)
		}
		yield(n - 1)
	}
}
