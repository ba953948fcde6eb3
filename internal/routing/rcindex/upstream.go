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

// ref names one generation of an upstream: the place in the registry and a
// counter that rises with each new incarnation or change of weights. Zero is
// no generation.
type ref uint32

func newRef(index, generation uint32) ref { return ref(generation<<indexBits | index) }

func (r ref) index() uint32 { return uint32(r) & (maxUpstreams - 1) }

// upstream is what the index knows of one upstream.
type upstream struct {
	index uint32

	// Guarded by the registry's lock.
	id          radishcrank.UpstreamID
	ref         ref
	incarnation radishcrank.Incarnation
	weights     map[radishcrank.ModelID]radishcrank.WeightsVersion
	reportedAt  time.Time

	decay  atomic.Uint64 // Rate of loss of an entry in 1/s, as float bits.
	synced atomic.Uint32 // Tick up to which events are complete; 0 if they are not read.
	gaps   atomic.Pointer[[]gap]
	blocks atomic.Int64 // Capacity of the cache; 0 if not known.

	feed sync.Mutex    // Orders batches of events; taken before all other locks of the index.
	next atomic.Uint64 // Next sequence number; written under feed, except by add and renew.
	mean float64       // Mean blocks of an event; guarded by feed.
}

// registry maps upstreams to places and back.
type registry struct {
	mu       sync.RWMutex
	byID     map[radishcrank.UpstreamID]*upstream
	upstream []*upstream // By index; a removed upstream has a zero ref.
	free     []freeIndex
}

// freeIndex is a place that may be used again from a generation on.
type freeIndex struct{ index, generation uint32 }

// SetUpstream tells the index of an upstream's incarnation, weights and
// eviction rate. A newer incarnation or other weights void all entries of the
// upstream. Reports older than the last one are ignored.
func (x *Index) SetUpstream(up radishcrank.Upstream) {
	x.registry.mu.RLock()
	u, ok := x.registry.byID[up.ID]
	current := ok && u.matches(up)
	x.registry.mu.RUnlock()
	if !current {
		x.registry.mu.Lock()
		u = x.registry.set(up)
		x.registry.mu.Unlock()
	}
	if u != nil && up.Load.CacheBlocks > 0 {
		u.blocks.Store(int64(up.Load.CacheBlocks))
		u.decay.Store(math.Float64bits(up.Load.EvictionsPerSecond / float64(up.Load.CacheBlocks)))
	}
}

// matches reports whether a report changes nothing.
func (u *upstream) matches(up radishcrank.Upstream) bool {
	return u.incarnation == up.Incarnation && u.weights != nil && maps.Equal(u.weights, up.Load.Weights)
}

func (g *registry) set(up radishcrank.Upstream) *upstream {
	u := g.byID[up.ID]
	switch {
	case u == nil:
		u = g.add(up.ID, up.Incarnation)
	case up.Incarnation < u.incarnation:
		return u
	case up.Incarnation > u.incarnation:
		u = g.renew(u, up.Incarnation)
	case u.weights != nil && !maps.Equal(u.weights, up.Load.Weights):
		if up.Load.ReportedAt.Before(u.reportedAt) {
			return u
		}
		u = g.renew(u, up.Incarnation)
	}
	if u != nil {
		u.weights, u.reportedAt = up.Load.Weights, up.Load.ReportedAt
	}
	return u
}

// add registers an upstream. It returns nil when the registry is full, in which
// case the index holds nothing of the upstream.
func (g *registry) add(id radishcrank.UpstreamID, incarnation radishcrank.Incarnation) *upstream {
	u := &upstream{id: id, incarnation: incarnation}
	u.next.Store(1)
	switch {
	case len(g.free) > 0:
		last := g.free[len(g.free)-1]
		g.free = g.free[:len(g.free)-1]
		u.index, u.ref = last.index, newRef(last.index, last.generation)
		g.upstream[u.index] = u
	case len(g.upstream) < maxUpstreams:
		u.index = uint32(len(g.upstream))
		u.ref = newRef(u.index, 1)
		g.upstream = append(g.upstream, u)
	default:
		return nil
	}
	g.byID[id] = u
	return u
}

// renew voids all entries of an upstream and registers it again.
func (g *registry) renew(u *upstream, incarnation radishcrank.Incarnation) *upstream {
	g.remove(u)
	fresh := g.add(u.id, incarnation)
	if fresh != nil && incarnation == u.incarnation {
		fresh.next.Store(u.next.Load()) // The event stream goes on.
	}
	return fresh
}

// remove voids all entries of an upstream. Its place is used again from the
// next generation on, and never again when the counter is used up, since an
// entry of the first generation might still exist.
func (g *registry) remove(u *upstream) {
	generation := uint32(u.ref) >> indexBits
	if generation < maxGeneration {
		g.free = append(g.free, freeIndex{index: u.index, generation: generation + 1})
	}
	u.ref = 0
	delete(g.byID, u.id)
}

// RemoveUpstream voids all entries of an upstream that is gone.
func (x *Index) RemoveUpstream(id radishcrank.UpstreamID) {
	x.registry.mu.Lock()
	defer x.registry.mu.Unlock()
	if u := x.registry.byID[id]; u != nil {
		x.registry.remove(u)
	}
}

// live returns the upstream of an entry, or nil if the entry is void. The
// registry must be locked.
func (g *registry) live(r ref) *upstream {
	if r == 0 {
		return nil
	}
	if u := g.upstream[r.index()]; u.ref == r {
		return u
	}
	return nil
}

// confidence returns the probability that an entry of u still holds. While
// events are read an eviction would have been seen, unless it was among lost
// events, so confidence only decays from the last batch on.
func (u *upstream) confidence(s *slot, now uint32) float64 {
	c := float64(s.trust) / 255
	if gaps := u.gaps.Load(); gaps != nil {
		c *= kept(*gaps, s.seen)
	}
	proof := max(s.seen, u.synced.Load())
	if now <= proof {
		return c
	}
	age := float64(now-proof) * tickLength.Seconds()
	return c * math.Exp(-age*math.Float64frombits(u.decay.Load()))
}
