package rcindex

import (
	"encoding/binary"
	"sync"

	"github.com/radishcrank/radishcrank"
)

const (
	slotBytes   = 36
	bucketBytes = 4

	noSlot = ^uint32(0) // End of a linked list of slots.

	// initialSlots is the size that a shard first grows to. A small fleet does not
	// allocate the memory of a full index.
	initialSlots = 64

	// evictionSample is the number of random slots compared for each eviction. The
	// evicted one is among the lowest-scoring tenth of all slots with a probability
	// of 1 - 0.9^16 = 0.81.
	evictionSample = 16
)

// slot is one entry of the index: a block cached by an upstream.
type slot struct {
	block          radishcrank.BlockHash
	ref            generationRef // Zero if the slot is free.
	account        uint32        // Account tag; 0 if the block is known only from cache events.
	lastSeen       uint32        // Tick of the last confirmation that the block was cached.
	next           uint32        // Next slot of the bucket or of the free list.
	depth          uint16        // Number of blocks before this one; unknownDepth if not known.
	baseConfidence uint8         // Confidence at lastSeen, in units of 1/255.
	_              uint8
}

// shard is a hash table with chaining whose entries are in a dense array of slots.
type shard struct {
	mu        sync.Mutex
	limit     int
	slots     []slot
	buckets   []uint32
	free      uint32
	used      int
	randState uint64
}

func (s *shard) init(limit int, seed uint64) {
	s.limit = limit
	s.randState = seed*2 + 1
	s.free = noSlot
}

func (s *shard) bucket(h *radishcrank.BlockHash) *uint32 {
	// The multiplication maps the hash uniformly to any number of buckets.
	return &s.buckets[uint64(binary.LittleEndian.Uint32(h[:]))*uint64(len(s.buckets))>>32]
}

// bucketHead returns the first slot of the block's bucket.
func (s *shard) bucketHead(h *radishcrank.BlockHash) uint32 {
	if len(s.buckets) == 0 {
		return noSlot
	}
	return *s.bucket(h)
}

// put adds or refreshes an entry. score is the function that evict compares
// entries by.
func (s *shard) put(entry slot, score func(*slot) float64) { s.insert(entry, true, score) }

// putNew adds an entry unless the block already has one of the same generation.
func (s *shard) putNew(entry slot, score func(*slot) float64) { s.insert(entry, false, score) }

func (s *shard) insert(entry slot, refresh bool, score func(*slot) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.bucketHead(&entry.block); i != noSlot; i = s.slots[i].next {
		existing := &s.slots[i]
		if existing.block != entry.block {
			continue
		}
		entry.fillUnknown(existing)
		if existing.ref.index() == entry.ref.index() {
			if existing.ref > entry.ref || (!refresh && existing.ref == entry.ref) {
				return
			}
			entry.next = existing.next
			*existing = entry
			return
		}
	}
	i := s.allocate(score)
	head := s.bucket(&entry.block)
	entry.next = *head
	s.slots[i] = entry
	*head = i
}

// fillUnknown copies the fields that cache events do not provide from an entry of
// the same block.
func (e *slot) fillUnknown(known *slot) {
	if e.account == 0 {
		e.account = known.account
	}
	if e.depth == unknownDepth {
		e.depth = known.depth
	}
}

// allocate returns a free slot. If there is none, it grows the shard or, at the
// limit, evicts an entry.
func (s *shard) allocate(score func(*slot) float64) uint32 {
	if s.free == noSlot && len(s.slots) == cap(s.slots) {
		if cap(s.slots) < s.limit {
			s.grow()
		} else {
			s.evict(score)
		}
	}
	s.used++
	if s.free != noSlot {
		i := s.free
		s.free = s.slots[i].next
		return i
	}
	s.slots = s.slots[:len(s.slots)+1]
	return uint32(len(s.slots) - 1)
}

func (s *shard) grow() {
	size := min(max(initialSlots, 2*cap(s.slots)), s.limit)
	slots := make([]slot, len(s.slots), size)
	copy(slots, s.slots)
	s.slots = slots
	s.buckets = make([]uint32, size)
	for i := range s.buckets {
		s.buckets[i] = noSlot
	}
	for i := range s.slots {
		head := s.bucket(&s.slots[i].block)
		s.slots[i].next = *head
		*head = uint32(i)
	}
}

// evict frees the slot with the lowest score in a random sample. All slots must be
// in use.
func (s *shard) evict(score func(*slot) float64) {
	victim, lowest := uint32(0), 0.0
	for n := range evictionSample {
		i := s.randUint32() % uint32(len(s.slots))
		if value := score(&s.slots[i]); n == 0 || value < lowest {
			victim, lowest = i, value
		}
	}
	s.freeSlot(victim)
}

// randUint32 returns a pseudo-random number from an xorshift64 generator.
func (s *shard) randUint32() uint32 {
	s.randState ^= s.randState << 13
	s.randState ^= s.randState >> 7
	s.randState ^= s.randState << 17
	return uint32(s.randState >> 32)
}

// freeSlot unlinks a slot from its bucket and adds it to the free list.
func (s *shard) freeSlot(i uint32) {
	link := s.bucket(&s.slots[i].block)
	for *link != i {
		link = &s.slots[*link].next
	}
	*link = s.slots[i].next
	s.slots[i] = slot{next: s.free}
	s.free = i
	s.used--
}

// remove removes the entry of a block for an upstream.
func (s *shard) remove(h *radishcrank.BlockHash, upstreamIndex uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := s.bucketHead(h); i != noSlot; i = s.slots[i].next {
		if s.slots[i].block == *h && s.slots[i].ref.index() == upstreamIndex {
			s.freeSlot(i)
			return
		}
	}
}

// removeIf removes all entries that match.
func (s *shard) removeIf(match func(*slot) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.slots {
		if s.slots[i].ref != 0 && match(&s.slots[i]) {
			s.freeSlot(uint32(i))
		}
	}
}
