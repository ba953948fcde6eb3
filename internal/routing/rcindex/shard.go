package rcindex

import (
	"encoding/binary"
	"sync"

	"github.com/radishcrank/radishcrank"
)

const (
	slotBytes   = 36
	bucketBytes = 4

	none = ^uint32(0) // Ends a chain of slots.

	// firstSlots is the size of a shard before it grows, so that a small fleet
	// does not pay for the bound.
	firstSlots = 64

	// evictionSample slots are compared for each eviction. The dropped one is
	// among the cheapest tenth with a probability of 1 - 0.9^16 = 0.81.
	evictionSample = 16
)

// slot is one entry: a block on an upstream.
type slot struct {
	block   radishcrank.BlockHash
	ref     ref    // Zero in a free slot.
	account uint32 // Tag of the account; 0 if only events named the block.
	seen    uint32 // Tick of the last proof that the block was cached.
	next    uint32 // Next slot of the bucket, or of the free list.
	depth   uint16 // Blocks before this one.
	trust   uint8  // Confidence at the time of the proof, in 1/255.
	_       uint8
}

// shard is a chained hash table over a dense array of slots.
type shard struct {
	mu      sync.Mutex
	limit   int
	slots   []slot
	buckets []uint32
	free    uint32
	used    int
	random  uint64
}

func (s *shard) init(limit int, seed uint64) {
	s.limit = limit
	s.random = seed*2 + 1
	s.free = none
}

func (s *shard) bucket(h *radishcrank.BlockHash) *uint32 {
	// A multiplication maps the hash to any number of buckets.
	return &s.buckets[uint64(binary.LittleEndian.Uint32(h[:]))*uint64(len(s.buckets))>>32]
}

// first returns the first slot of the block's bucket.
func (s *shard) first(h *radishcrank.BlockHash) uint32 {
	if len(s.buckets) == 0 {
		return none
	}
	return *s.bucket(h)
}

// put adds or refreshes an entry. worth returns what an entry is worth,
// so that the cheapest can be evicted.
func (s *shard) put(entry slot, worth func(*slot) float64) { s.insert(entry, true, worth) }

// putNew adds an entry unless its generation has one already.
func (s *shard) putNew(entry slot, worth func(*slot) float64) { s.insert(entry, false, worth) }

func (s *shard) insert(entry slot, refresh bool, worth func(*slot) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.first(&entry.block); i != none; i = s.slots[i].next {
		known := &s.slots[i]
		if known.block != entry.block {
			continue
		}
		entry.inherit(known)
		if known.ref.index() == entry.ref.index() {
			if known.ref > entry.ref || (!refresh && known.ref == entry.ref) {
				return
			}
			entry.next = known.next
			*known = entry
			return
		}
	}
	i := s.take(worth)
	head := s.bucket(&entry.block)
	entry.next = *head
	s.slots[i] = entry
	*head = i
}

// inherit copies what an event does not say from an entry of the same block.
func (e *slot) inherit(known *slot) {
	if e.account == 0 {
		e.account = known.account
	}
	if e.depth == unknownDepth {
		e.depth = known.depth
	}
}

// take returns a free slot, after growing or evicting if there is none.
func (s *shard) take(worth func(*slot) float64) uint32 {
	if s.free == none && len(s.slots) == cap(s.slots) {
		if cap(s.slots) < s.limit {
			s.grow()
		} else {
			s.evict(worth)
		}
	}
	s.used++
	if s.free != none {
		i := s.free
		s.free = s.slots[i].next
		return i
	}
	s.slots = s.slots[:len(s.slots)+1]
	return uint32(len(s.slots) - 1)
}

func (s *shard) grow() {
	size := min(max(firstSlots, 2*cap(s.slots)), s.limit)
	slots := make([]slot, len(s.slots), size)
	copy(slots, s.slots)
	s.slots = slots
	s.buckets = make([]uint32, size)
	for i := range s.buckets {
		s.buckets[i] = none
	}
	for i := range s.slots {
		head := s.bucket(&s.slots[i].block)
		s.slots[i].next = *head
		*head = uint32(i)
	}
}

// evict frees the entry of a sample that is cheapest to lose. All slots are in
// use when it is called.
func (s *shard) evict(worth func(*slot) float64) {
	victim, lowest := uint32(0), 0.0
	for n := range evictionSample {
		i := s.next() % uint32(len(s.slots))
		if w := worth(&s.slots[i]); n == 0 || w < lowest {
			victim, lowest = i, w
		}
	}
	s.release(victim)
}

// next returns a pseudo-random number (xorshift64).
func (s *shard) next() uint32 {
	s.random ^= s.random << 13
	s.random ^= s.random >> 7
	s.random ^= s.random << 17
	return uint32(s.random >> 32)
}

// release unlinks a slot and puts it on the free list.
func (s *shard) release(i uint32) {
	link := s.bucket(&s.slots[i].block)
	for *link != i {
		link = &s.slots[*link].next
	}
	*link = s.slots[i].next
	s.slots[i] = slot{next: s.free}
	s.free = i
	s.used--
}

// drop removes the entry of a block on an upstream.
func (s *shard) drop(h *radishcrank.BlockHash, upstreamIndex uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.first(h); i != none; i = s.slots[i].next {
		if s.slots[i].block == *h && s.slots[i].ref.index() == upstreamIndex {
			s.release(i)
			return
		}
	}
}

// dropIf removes all entries that match.
func (s *shard) dropIf(match func(*slot) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.slots {
		if s.slots[i].ref != 0 && match(&s.slots[i]) {
			s.release(uint32(i))
		}
	}
}
