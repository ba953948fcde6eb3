package rcindex

import (
	"container/heap"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// restoreFactor lowers the confidence of restored entries, because evictions
// between the snapshot and the restart are unknown.
const restoreFactor = 0.5

// Entry is an index entry in a snapshot.
type Entry struct {
	Block       radishcrank.BlockHash
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	AccountTag  uint32 // As returned by the function AccountTag; 0 if unknown.
	Depth       int    // Number of blocks before this one; -1 if unknown.
	Confidence  float64
	LastSeen    time.Time
}

// TopEntries returns the n valid entries with the highest scores, or all if there
// are fewer, by falling score.
func (x *Index) TopEntries(n int) []Entry {
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	best := ranking{}
	score := x.scorer()
	for i := range x.shards {
		x.shards[i].rank(&best, n, score, func(s *slot) bool { return x.registry.resolve(s.ref) != nil })
	}
	slices.SortFunc(best, func(a, b ranked) int { return compareRanked(b, a) })
	now := x.tick(time.Now())
	entries := make([]Entry, 0, len(best))
	for i := range best {
		entries = append(entries, x.entry(&best[i].slot, now))
	}
	return entries
}

func (x *Index) entry(s *slot, now uint32) Entry {
	u := x.registry.resolve(s.ref)
	depth := int(s.depth)
	if s.depth == unknownDepth {
		depth = -1
	}
	return Entry{
		Block:       s.block,
		Upstream:    u.id,
		Incarnation: u.incarnation,
		AccountTag:  s.account,
		Depth:       depth,
		Confidence:  u.confidence(s, now),
		LastSeen:    x.time(s.lastSeen),
	}
}

// Restore adds the entries of a snapshot at half their confidence. It skips
// entries of an incarnation other than the known one. Entries of upstreams that
// are not known yet are used only after SetUpstream confirms their incarnation.
func (x *Index) Restore(entries []Entry) {
	x.registry.mu.Lock()
	for _, e := range entries {
		u := x.registry.byID[e.Upstream]
		if u == nil {
			x.registry.add(e.Upstream, e.Incarnation)
		} else if u.weights == nil && u.incarnation < e.Incarnation {
			x.registry.replace(u, e.Incarnation)
		}
	}
	x.registry.mu.Unlock()
	x.registry.mu.RLock()
	defer x.registry.mu.RUnlock()
	score := x.scorer()
	for i := range entries {
		x.restore(&entries[i], score)
	}
}

func (x *Index) restore(e *Entry, score func(*slot) float64) {
	u := x.registry.byID[e.Upstream]
	if u == nil || u.incarnation != e.Incarnation {
		return
	}
	depth := uint16(unknownDepth)
	if e.Depth >= 0 {
		depth = depthOf(e.Depth)
	}
	x.shard(&e.Block).putNew(slot{
		block:          e.Block,
		ref:            u.ref,
		account:        e.AccountTag,
		lastSeen:       min(x.tick(e.LastSeen), x.tick(time.Now())),
		depth:          depth,
		baseConfidence: uint8(255 * min(max(e.Confidence, 0), 1) * restoreFactor),
	}, score)
}

// RemoveAccount removes all entries of a client account. Entries that are known
// only from cache events, and not from a request of this instance, have no account
// and stay; they match no prompt of another account and are evicted as they age.
func (x *Index) RemoveAccount(account radishcrank.ClientAccountID) {
	tag := AccountTag(account)
	for i := range x.shards {
		x.shards[i].removeIf(func(s *slot) bool { return s.account == tag })
	}
}

// ranked is a copy of a slot with its score.
type ranked struct {
	slot  slot
	score float64
}

// ranking is a min-heap by score. It implements heap.Interface.
type ranking []ranked

func (h ranking) Len() int           { return len(h) }
func (h ranking) Less(i, j int) bool { return compareRanked(h[i], h[j]) < 0 }
func (h ranking) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *ranking) Push(v any) { *h = append(*h, v.(ranked)) }

// Pop implements heap.Interface.
func (h *ranking) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// compareRanked orders slots by score. Equal scores are ordered by content, so
// that the result does not depend on the order of insertion.
func compareRanked(a, b ranked) int {
	switch {
	case a.score < b.score:
		return -1
	case a.score > b.score:
		return 1
	}
	if c := slices.Compare(b.slot.block[:], a.slot.block[:]); c != 0 {
		return c
	}
	return int(int64(b.slot.ref) - int64(a.slot.ref))
}

// rank adds the shard's matching slots to a ranking that keeps the n highest
// scores.
func (s *shard) rank(best *ranking, n int, score func(*slot) float64, match func(*slot) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.slots {
		e := &s.slots[i]
		if n <= 0 || e.ref == 0 || !match(e) {
			continue
		}
		r := ranked{slot: *e, score: score(e)}
		if len(*best) < n {
			heap.Push(best, r)
		} else if compareRanked((*best)[0], r) < 0 {
			(*best)[0] = r
			heap.Fix(best, 0)
		}
	}
}
