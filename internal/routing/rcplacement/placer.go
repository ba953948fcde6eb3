// Package rcplacement maps prefixes to engines without shared state, by
// rendezvous hashing with bounded load. Instances that know the same engines
// agree on the home of a prefix at once, whatever they have seen before.
//
// A prefix chain is a path in a tree of shared texts. The engines of a subtree
// are the first ones of the rendezvous order of its root, and as many as its
// load needs. Each level chooses among the engines of the level above, so a
// shared text is computed on few engines, while the text of one caller, which
// is deeper, stays on one. An instance without load counters uses the first
// engine of the first level, which is among those that its peers use.
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
	// DefaultLoadPerReplica is the load that one engine is given of one subtree, in
	// engine-seconds a second. The rest is room for other prefixes, and for the
	// seconds until a rising load shows in the counters.
	DefaultLoadPerReplica = 0.5

	// LoadFactor bounds the load of an engine relative to the mean. An engine
	// above it is passed over, but not before its batch is full. Queues of a
	// fleet at 90% of its capacity differ by a quarter by chance, and a factor of
	// 1.25 moved callers' contexts between engines there: p99 TTFT was 7.7 to
	// 19.0 s over three seeds of the evaluation of Riga, against 6.4 to 15.3 s.
	LoadFactor = 2

	maxHomes = 8 // Replicas that Place returns; more make a decision slow.
	maxSpare = 4 // Further engines that Place returns.

	// knownUses is how often a prefix must have been placed lately to count as known.
	knownUses = 1.5
)

// Config holds the parameters of a Placer.
type Config struct {
	// Instances returns the number of live instances that send requests to the
	// same engines; nil means one. Each is assumed to see the same load.
	Instances func() int
	// LoadPerReplica returns the load of one subtree that fits one engine, in
	// engine-seconds a second; nil means DefaultEngineLoad.
	LoadPerReplica func() float64
}

// Engine is an engine that prefixes can be placed on.
type Engine struct {
	Key      uint64  // As returned by Key.
	Load     float64 // Requests that it has, as far as is known.
	MaxBatch float64 // Requests that it runs at once.
}

// EngineKey returns the rendezvous key of an upstream.
func EngineKey(id radishcrank.UpstreamID) uint64 { return xxhash.Sum64String(string(id)) }

// Placer chooses the engines of prefixes.
type Placer struct {
	cfg      Config
	counters counters
}

// New returns a Placer that has seen no load.
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

// RecordRequest counts a request on the subtrees of its chain. cost is the time that the
// request occupies one engine.
func (p *Placer) RecordRequest(chain []radishcrank.BlockHash, cost time.Duration) {
	now := time.Now()
	for i := range levels(len(chain)) {
		p.counters.add(levelKey(&chain[i]), cost.Seconds(), now)
	}
}

// LoadBound returns the load from which on an engine is passed over.
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

// Overloaded reports whether an engine has no place for another request under a bound.
func (e *Engine) Overloaded(bound float64) bool { return e.Load+1 > max(bound, e.MaxBatch) }

// Placement is where a chain belongs.
type Placement struct {
	// Replicas are the indexes of the engines that the chain is placed on, the first
	// choice first. Of many replicas they are a few that the seed picks.
	Replicas []int
	// Fallbacks are some further engines of the subtree above, which probably hold
	// the shared part of the chain.
	Fallbacks []int
	// KnownBlocks is the number of leading blocks that this instance has placed several
	// times lately. Other instances have placed them on the same engines.
	KnownBlocks int
}

// Place returns where a chain belongs. Engines that are not usable or above the
// load bound are passed over for the next ones of the order, unless none is
// left. usable may be nil; it is asked only about engines that come into
// question. The result uses the slices of reuse.
func (p *Placer) Place(chain []radishcrank.BlockHash, engines []Engine, usable func(i int) bool, seed uint64, reuse Placement) (result Placement) {
	if len(chain) == 0 || len(engines) == 0 {
		return Placement{Replicas: reuse.Replicas[:0], Fallbacks: reuse.Fallbacks[:0]}
	}
	bound := LoadBound(engines)
	s := selections.Get().(*selection)
	defer selections.Put(s)
	s.reset(engines, func(i int) bool { return !engines[i].Overloaded(bound) && (usable == nil || usable(i)) })
	now := time.Now()
	instances := max(1, p.cfg.Instances())
	for i := range levels(len(chain)) {
		key := levelKey(&chain[i])
		load, seen := p.counters.load(key, instances, now)
		if seen >= knownUses {
			result.KnownBlocks = i + 1
		}
		if len(s.ranks) > 1 {
			s.narrow(key, p.wanted(load))
		}
	}
	homes := min(len(s.ranks), maxHomes)
	if homes < len(s.ranks) {
		rescore(s.ranks, engines, seed)
		selectTop(s.ranks, homes)
	}
	result.Replicas = appendOrdered(reuse.Replicas[:0], s.ranks[:homes])
	spare := min(len(s.spare), maxSpare)
	rescore(s.spare, engines, seed)
	selectTop(s.spare, spare)
	result.Fallbacks = appendOrdered(reuse.Fallbacks[:0], s.spare[:spare])
	return result
}

func appendOrdered(out []int, ranks []rank) []int {
	slices.SortFunc(ranks, compareRank)
	for _, r := range ranks {
		out = append(out, r.engine)
	}
	return out
}

// wanted returns the number of engines for a load.
func (p *Placer) wanted(load float64) int {
	return max(1, int(math.Ceil(load/p.cfg.LoadPerReplica())))
}

// ReplicaCount returns how many engines the first level of a chain is spread over.
func (p *Placer) ReplicaCount(chain []radishcrank.BlockHash) int {
	if len(chain) == 0 {
		return 0
	}
	load, _ := p.counters.load(levelKey(&chain[0]), max(1, p.cfg.Instances()), time.Now())
	return p.wanted(load)
}

// MixHash spreads the bits of x (the finalizer of SplitMix64).
func MixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func levelKey(h *radishcrank.BlockHash) uint64 { return binary.LittleEndian.Uint64(h[:]) }

// levels yields the depths of a chain that count as levels of the tree: the
// first blocks, then depths that grow by about half, and the last block. Their
// number is logarithmic, so small blocks do not make decisions slow.
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
