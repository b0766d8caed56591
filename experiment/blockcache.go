package experiment

import (
	"container/list"

	"cactuswell/core/endpoint"
)

// blockCache is an engine's prefix cache with LRU eviction. It records each stored
// or evicted block as a CacheChange.
type blockCache struct {
	capacity     int
	blocks       map[uint64]*list.Element
	recency      *list.List
	changes      []endpoint.CacheChange
	nextSequence uint64
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{
		capacity:     capacity,
		blocks:       make(map[uint64]*list.Element),
		recency:      list.New(),
		nextSequence: 1,
	}
}

// lookupAndStore returns the number of leading blocks of prefix that were cached, and
// then stores all its blocks. It stores them last to first, so the leading blocks are
// evicted last.
func (c *blockCache) lookupAndStore(prefix []uint64) int {
	cached := 0
	for _, hash := range prefix {
		if _, ok := c.blocks[hash]; !ok {
			break
		}
		cached++
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		c.storeOrPromote(prefix[i])
	}
	return cached
}

func (c *blockCache) storeOrPromote(hash uint64) {
	if element, ok := c.blocks[hash]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.recency.PushFront(hash)
	c.recordChange(hash, true)
	if c.recency.Len() > c.capacity {
		evicted := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, evicted)
		c.recordChange(evicted, false)
	}
}

func (c *blockCache) recordChange(hash uint64, stored bool) {
	c.changes = append(c.changes, endpoint.CacheChange{
		Hash:   hash,
		Stored: stored,
	})
}

// takeChanges returns the changes since the last call and the sequence number of the
// first one.
func (c *blockCache) takeChanges() (uint64, []endpoint.CacheChange) {
	firstSequence := c.nextSequence
	changes := c.changes
	c.nextSequence += uint64(len(changes))
	c.changes = nil
	return firstSequence, changes
}
