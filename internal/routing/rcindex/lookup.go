package rcindex

import (
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Holder is an upstream that probably caches the beginning of a prompt.
type Holder struct {
	Upstream       radishcrank.UpstreamID
	Incarnation    radishcrank.Incarnation
	Blocks         int     // Leading blocks with an entry.
	Confidence     float64 // Lowest confidence among them.
	ExpectedBlocks float64 // Leading blocks expected to be cached.
}

// scratch maps an upstream's index to its place among the holders plus 1.
type scratch struct{ place []int32 }

var scratches = sync.Pool{New: func() any { return new(scratch) }}

// Confirm records that an upstream holds the blocks of a chain, as the first
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
	seen := now
	if u.lastGap(now) {
		seen++ // The proof is newer than the gap of the same tick.
	}
	tag := AccountTag(scope.Account)
	worth := x.worth()
	// The deepest block goes first, so that an eviction caused by a later one
	// does not drop its parents.
	for i := len(chain) - 1; i >= 0; i-- {
		b := &chain[i]
		x.shard(b).put(slot{block: *b, ref: u.ref, account: tag, seen: seen, depth: depthOf(i), trust: 255}, worth)
	}
}

func depthOf(i int) uint16 { return uint16(min(i, unknownDepth-1)) }

// Lookup appends to out the upstreams that probably cache the first blocks of a
// chain under its scope, in no particular order.
func (x *Index) Lookup(scope radishcrank.CacheScope, chain []radishcrank.BlockHash, out []Holder) []Holder {
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	sc := scratches.Get().(*scratch)
	defer scratches.Put(sc)
	if len(sc.place) < len(x.registry.upstream) {
		sc.place = make([]int32, len(x.registry.upstream))
	}
	l := lookup{index: x, scope: scope, tag: AccountTag(scope.Account), now: x.tick(time.Now()), place: sc.place, out: out}
	for i := range chain {
		if l.block(&chain[i], i) == 0 {
			break
		}
	}
	for _, p := range l.touched {
		sc.place[p] = 0
	}
	return l.out
}

// lookup is the state of one Lookup.
type lookup struct {
	index   *Index
	scope   radishcrank.CacheScope
	tag     uint32
	now     uint32
	place   []int32
	touched []uint32
	out     []Holder
}

// block extends the holders that have a block and returns how many there are.
func (l *lookup) block(b *radishcrank.BlockHash, depth int) (holders int) {
	s := l.index.shard(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.first(b); i != none; i = s.slots[i].next {
		e := &s.slots[i]
		if e.block != *b || (e.account != 0 && e.account != l.tag) {
			continue
		}
		u := l.index.registry.live(e.ref)
		if u == nil || !l.follows(u, depth) {
			continue
		}
		e.account, e.depth = l.tag, depthOf(depth)
		l.extend(u, depth, u.confidence(e, l.now))
		holders++
	}
	return holders
}

// follows reports whether a block at a depth counts for an upstream. The engine
// must serve the scope's weights and have all blocks before, since blocks behind
// a missing one are of no use to it.
func (l *lookup) follows(u *upstream, depth int) bool {
	if depth == 0 {
		return u.weights != nil && u.weights[l.scope.Model] == l.scope.Weights
	}
	p := l.place[u.index]
	return p > 0 && l.out[p-1].Blocks == depth
}

// extend notes that an upstream has the block at a depth.
func (l *lookup) extend(u *upstream, depth int, confidence float64) {
	if depth == 0 {
		l.out = append(l.out, Holder{Upstream: u.id, Incarnation: u.incarnation})
		l.place[u.index] = int32(len(l.out))
		l.touched = append(l.touched, u.index)
	}
	h := &l.out[l.place[u.index]-1]
	if h.Blocks == 0 {
		h.Confidence = 1
	}
	h.Blocks++
	h.Confidence = min(h.Confidence, confidence)
	h.ExpectedBlocks += h.Confidence
}
