package rceval

import (
	"container/list"

	"github.com/radishcrank/radishcrank"
)

// blockCounts counts references to blocks: the live engines that cache a block
// or the jobs that will store it.
type blockCounts map[radishcrank.BlockHash]int

// cache is an engine's prefix cache with least-recently-used eviction.
type cache struct {
	capacity int
	holders  blockCounts
	order    *list.List // Front is the most recently used.
	entries  map[radishcrank.BlockHash]*list.Element
}

func newCache(capacity int, h blockCounts) *cache {
	return &cache{
		capacity: capacity,
		holders:  h,
		order:    list.New(),
		entries:  make(map[radishcrank.BlockHash]*list.Element),
	}
}

// hits returns the number of leading keys that are cached.
func (c *cache) hits(keys []radishcrank.BlockHash) int {
	for i, k := range keys {
		if _, ok := c.entries[k]; !ok {
			return i
		}
	}
	return len(keys)
}

// use marks cached keys as recently used, from the last to the first, so that a
// block is evicted before its parents.
func (c *cache) use(keys []radishcrank.BlockHash) {
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.entries[keys[i]]; ok {
			c.order.MoveToFront(e)
		}
	}
}

// store caches keys and returns the newly stored ones and those evicted to make
// room.
func (c *cache) store(keys []radishcrank.BlockHash) (stored, evicted []radishcrank.BlockHash) {
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.entries[keys[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[keys[i]] = c.order.PushFront(keys[i])
		c.holders[keys[i]]++
		stored = append(stored, keys[i])
	}
	for len(c.entries) > c.capacity {
		k := c.order.Remove(c.order.Back()).(radishcrank.BlockHash)
		c.remove(k)
		evicted = append(evicted, k)
	}
	return stored, evicted
}

// clear empties the cache, as a crash does.
func (c *cache) clear() {
	for k := range c.entries {
		c.remove(k)
	}
	c.order.Init()
}

func (c *cache) remove(k radishcrank.BlockHash) {
	delete(c.entries, k)
	if c.holders[k]--; c.holders[k] <= 0 {
		delete(c.holders, k)
	}
}
