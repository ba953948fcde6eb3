package rcfakeengine

import (
	"container/list"

	"github.com/radishcrank/radishcrank"
)

// blockCache is a set of KV cache blocks with least-recently-used eviction.
type blockCache struct {
	capacity int
	order    *list.List // The front is the most recently used block.
	entries  map[radishcrank.BlockHash]*list.Element
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{
		capacity: capacity,
		order:    list.New(),
		entries:  make(map[radishcrank.BlockHash]*list.Element),
	}
}

func (c *blockCache) len() int { return len(c.entries) }

// touch returns the number of leading keys that are cached and marks them as
// recently used.
func (c *blockCache) touch(keys []radishcrank.BlockHash) int {
	hits := 0
	for _, k := range keys {
		if _, ok := c.entries[k]; !ok {
			break
		}
		hits++
	}
	// Move the last block of the prefix to the front first, so that it is evicted
	// before the blocks that precede it.
	for i := hits - 1; i >= 0; i-- {
		c.order.MoveToFront(c.entries[keys[i]])
	}
	return hits
}

// store adds keys and returns those that were not cached before and those that
// were evicted to make room.
func (c *blockCache) store(keys []radishcrank.BlockHash) (stored, evicted []radishcrank.BlockHash) {
	for i := len(keys) - 1; i >= 0; i-- {
		k := keys[i]
		if element, ok := c.entries[k]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[k] = c.order.PushFront(k)
		stored = append(stored, k)
	}
	for len(c.entries) > c.capacity {
		k := c.order.Remove(c.order.Back()).(radishcrank.BlockHash)
		delete(c.entries, k)
		evicted = append(evicted, k)
	}
	return stored, evicted
}
