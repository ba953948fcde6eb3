package rcindex

import (
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Holder is an upstream that probably caches a prefix of a prompt.
type Holder struct {
	Upstream       radishcrank.UpstreamID
	Incarnation    radishcrank.Incarnation
	Blocks         int     // Number of leading blocks with an entry.
	Confidence     float64 // Lowest confidence among these entries.
	ExpectedBlocks float64 // Expected number of cached leading blocks.
}

// lookupScratch maps the index of an upstream to its position among the holders
// plus 1. It is zero between lookups.
type lookupScratch struct{ positions []int32 }

var scratchPool = sync.Pool{New: func() any { return new(lookupScratch) }}

// Confirm records that an upstream caches the blocks of a chain, which the first
// token of a request proves. It does nothing if the upstream has restarted or
// changed weights since the request was placed.
func (x *Index) Confirm(up radishcrank.Upstream, scope radishcrank.CacheScope, chain []radishcrank.BlockHash) {
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	u := x.registry.byID[up.ID]
	if u == nil || u.incarnation != up.Incarnation || u.weights[scope.Model] != scope.Weights {
		return
	}
	now := x.tick(time.Now())
	lastSeen := now
	if u.hasGapAt(now) {
		lastSeen++ // The confirmation is newer than the gap of the same tick.
	}
	tag := AccountTag(scope.Account)
	score := x.scorer()
	// The deepest block is inserted first, so that an eviction caused by inserting
	// a later one does not remove that block's parents.
	for i := len(chain) - 1; i >= 0; i-- {
		b := &chain[i]
		x.shard(b).put(slot{block: *b, ref: u.ref, account: tag, lastSeen: lastSeen, depth: depthOf(i), baseConfidence: 255}, score)
	}
}

func depthOf(i int) uint16 { return uint16(min(i, unknownDepth-1)) }

// Lookup appends to out the upstreams that probably cache leading blocks of a
// chain of the given scope, in no particular order.
func (x *Index) Lookup(scope radishcrank.CacheScope, chain []radishcrank.BlockHash, out []Holder) []Holder {
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	sc := scratchPool.Get().(*lookupScratch)
	defer scratchPool.Put(sc)
	if len(sc.positions) < len(x.registry.byIndex) {
		sc.positions = make([]int32, len(x.registry.byIndex))
	}
	l := lookup{index: x, scope: scope, accountTag: AccountTag(scope.Account), now: x.tick(time.Now()), positions: sc.positions, out: out}
	for i := range chain {
		if l.visit(&chain[i], i) == 0 {
			break
		}
	}
	for _, p := range l.touched {
		sc.positions[p] = 0
	}
	return l.out
}

// lookup is the working state of one call of Lookup.
type lookup struct {
	index      *Index
	scope      radishcrank.CacheScope
	accountTag uint32
	now        uint32
	positions  []int32
	touched    []uint32
	out        []Holder
}

// visit adds a block to the holders that have it and returns their number.
func (l *lookup) visit(b *radishcrank.BlockHash, depth int) (holders int) {
	s := l.index.shard(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.bucketHead(b); i != noSlot; i = s.slots[i].next {
		e := &s.slots[i]
		if e.block != *b || (e.account != 0 && e.account != l.accountTag) {
			continue
		}
		u := l.index.registry.resolve(e.ref)
		if u == nil || !l.extendsPrefix(u, depth) {
			continue
		}
		e.account, e.depth = l.accountTag, depthOf(depth)
		l.recordBlock(u, depth, u.confidence(e, l.now))
		holders++
	}
	return holders
}

// extendsPrefix reports whether a block at a depth extends the cached prefix of an
// upstream. The engine must serve the scope's weights and have all blocks before
// this one, since it cannot use blocks that follow a missing one.
func (l *lookup) extendsPrefix(u *upstream, depth int) bool {
	if depth == 0 {
		return u.weights != nil && u.weights[l.scope.Model] == l.scope.Weights
	}
	p := l.positions[u.index]
	return p > 0 && l.out[p-1].Blocks == depth
}

// recordBlock adds the block at a depth to the holder entry of an upstream.
func (l *lookup) recordBlock(u *upstream, depth int, confidence float64) {
	if depth == 0 {
		l.out = append(l.out, Holder{Upstream: u.id, Incarnation: u.incarnation})
		l.positions[u.index] = int32(len(l.out))
		l.touched = append(l.touched, u.index)
	}
	h := &l.out[l.positions[u.index]-1]
	if h.Blocks == 0 {
		h.Confidence = 1
	}
	h.Blocks++
	h.Confidence = min(h.Confidence, confidence)
	h.ExpectedBlocks += h.Confidence
}
