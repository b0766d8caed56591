package experiment

import (
	"container/list"

	"cactuswell/core/endpoint"
)

// blockCache is an engine's prefix cache, which forgets the least recently used
// block.
type blockCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recent   *list.List
	changes  []endpoint.CacheChange
	sequence uint64
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{
		capacity: capacity,
		blocks:   make(map[uint64]*list.Element),
		recent:   list.New(),
		sequence: 1,
	}
}

// use returns how many leading blocks were cached, and caches them all.
func (c *blockCache) use(prefix []uint64) int {
	cached := 0
	for _, hash := range prefix {
		if _, ok := c.blocks[hash]; !ok {
			break
		}
		cached++
	}
	for i := len(prefix) - 1; i >= 0; i-- {
		c.touch(prefix[i])
	}
	return cached
}

func (c *blockCache) touch(hash uint64) {
	if element, ok := c.blocks[hash]; ok {
		c.recent.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.recent.PushFront(hash)
	c.change(hash, true)
	if c.recent.Len() > c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, oldest)
		c.change(oldest, false)
	}
}

func (c *blockCache) change(hash uint64, stored bool) {
	c.changes = append(c.changes, endpoint.CacheChange{
		Hash:   hash,
		Stored: stored,
	})
}

// takeChanges returns the events since the last call and the first's sequence.
func (c *blockCache) takeChanges() (uint64, []endpoint.CacheChange) {
	first := c.sequence
	changes := c.changes
	c.sequence += uint64(len(changes))
	c.changes = nil
	return first, changes
}
