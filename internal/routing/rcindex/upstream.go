package rcindex

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	indexBits     = 14
	maxUpstreams  = 1 << indexBits
	maxGeneration = 1<<(32-indexBits) - 1
)

// generationRef identifies one generation of an upstream: its index in the
// registry and a counter that increases with each new incarnation, change of
// weights or cleared cache. Zero is no generation.
type generationRef uint32

func newRef(index, gen uint32) generationRef { return generationRef(gen<<indexBits | index) }

func (r generationRef) index() uint32 { return uint32(r) & (maxUpstreams - 1) }

// upstream is the state of one upstream in the index.
type upstream struct {
	index uint32

	// Guarded by the registry's lock.
	id          radishcrank.UpstreamID
	ref         generationRef
	incarnation radishcrank.Incarnation
	weights     map[radishcrank.ModelID]radishcrank.WeightsVersion
	reportedAt  time.Time

	decayRate   atomic.Uint64 // Rate at which entries are evicted, in 1/s, as float64 bits.
	syncedTick  atomic.Uint32 // Tick up to which events have been applied; 0 if they are not read.
	gaps        atomic.Pointer[[]gap]
	cacheBlocks atomic.Int64 // Capacity of the cache; 0 if unknown.

	eventMu         sync.Mutex    // Serializes batches of events; locked before all other locks of the index.
	nextSeq         atomic.Uint64 // Next sequence number; written under eventMu, except by add and replace.
	meanEventBlocks float64       // Mean number of blocks per event; guarded by eventMu.
}

// registry maps upstreams to indexes and back.
type registry struct {
	mu          sync.RWMutex
	byID        map[radishcrank.UpstreamID]*upstream
	byIndex     []*upstream // A removed upstream has a zero ref.
	freeIndexes []freeIndex
}

// freeIndex is an index that can be reused, starting with the given generation.
type freeIndex struct{ index, generation uint32 }

// SetUpstream updates the incarnation, weights and eviction rate of an upstream.
// A newer incarnation or different weights invalidate all entries of the upstream.
// Reports older than the last one are ignored.
func (x *Index) SetUpstream(up radishcrank.Upstream) {
	x.registry.mu.RLock()
	u, ok := x.registry.byID[up.ID]
	current := ok && u.isCurrent(up)
	x.registry.mu.RUnlock()
	if !current {
		x.registry.mu.Lock()
		u = x.registry.update(up)
		x.registry.mu.Unlock()
	}
	if u != nil && up.Load.CacheBlocks > 0 {
		u.cacheBlocks.Store(int64(up.Load.CacheBlocks))
		u.decayRate.Store(math.Float64bits(up.Load.EvictionsPerSecond / float64(up.Load.CacheBlocks)))
	}
}

// isCurrent reports whether a report has the known incarnation and weights.
func (u *upstream) isCurrent(up radishcrank.Upstream) bool {
	return u.incarnation == up.Incarnation && u.weights != nil && maps.Equal(u.weights, up.Load.Weights)
}

func (g *registry) update(up radishcrank.Upstream) *upstream {
	u := g.byID[up.ID]
	switch {
	case u == nil:
		u = g.add(up.ID, up.Incarnation)
	case up.Incarnation < u.incarnation:
		return u
	case up.Incarnation > u.incarnation:
		u = g.replace(u, up.Incarnation)
	case u.weights != nil && !maps.Equal(u.weights, up.Load.Weights):
		if up.Load.ReportedAt.Before(u.reportedAt) {
			return u
		}
		u = g.replace(u, up.Incarnation)
	}
	if u != nil {
		u.weights, u.reportedAt = up.Load.Weights, up.Load.ReportedAt
	}
	return u
}

// add registers an upstream. It returns nil when the registry is full; the index
// then holds no entries for the upstream.
func (g *registry) add(id radishcrank.UpstreamID, incarnation radishcrank.Incarnation) *upstream {
	u := &upstream{id: id, incarnation: incarnation}
	u.nextSeq.Store(1)
	switch {
	case len(g.freeIndexes) > 0:
		last := g.freeIndexes[len(g.freeIndexes)-1]
		g.freeIndexes = g.freeIndexes[:len(g.freeIndexes)-1]
		u.index, u.ref = last.index, newRef(last.index, last.generation)
		g.byIndex[u.index] = u
	case len(g.byIndex) < maxUpstreams:
		u.index = uint32(len(g.byIndex))
		u.ref = newRef(u.index, 1)
		g.byIndex = append(g.byIndex, u)
	default:
		return nil
	}
	g.byID[id] = u
	return u
}

// replace invalidates all entries of an upstream and registers it again.
func (g *registry) replace(u *upstream, incarnation radishcrank.Incarnation) *upstream {
	g.remove(u)
	replacement := g.add(u.id, incarnation)
	if replacement != nil && incarnation == u.incarnation {
		replacement.nextSeq.Store(u.nextSeq.Load()) // The event sequence continues.
	}
	return replacement
}

// remove invalidates all entries of an upstream. Its index is reused with the next
// generation. It is never reused once the generation counter is exhausted, since
// an entry of the first generation might still exist.
func (g *registry) remove(u *upstream) {
	generation := uint32(u.ref) >> indexBits
	if generation < maxGeneration {
		g.freeIndexes = append(g.freeIndexes, freeIndex{index: u.index, generation: generation + 1})
	}
	u.ref = 0
	delete(g.byID, u.id)
}

// RemoveUpstream unregisters an upstream and invalidates all its entries.
func (x *Index) RemoveUpstream(id radishcrank.UpstreamID) {
	x.registry.mu.Lock()
	defer x.registry.mu.Unlock()
	if u := x.registry.byID[id]; u != nil {
		x.registry.remove(u)
	}
}

// resolve returns the upstream of an entry, or nil if the entry is invalid. The
// registry must be locked.
func (g *registry) resolve(r generationRef) *upstream {
	if r == 0 {
		return nil
	}
	if u := g.byIndex[r.index()]; u.ref == r {
		return u
	}
	return nil
}

// confidence returns the probability that the block of an entry of u is still
// cached. While events are read, an eviction would have been seen unless its event
// was lost, so confidence decays only from the last batch on.
func (u *upstream) confidence(s *slot, now uint32) float64 {
	c := float64(s.baseConfidence) / 255
	if gaps := u.gaps.Load(); gaps != nil {
		c *= survivalProbability(*gaps, s.lastSeen)
	}
	lastConfirmed := max(s.lastSeen, u.syncedTick.Load())
	if now <= lastConfirmed {
		return c
	}
	age := float64(now-lastConfirmed) * tickLength.Seconds()
	return c * math.Exp(-age*math.Float64frombits(u.decayRate.Load()))
}
