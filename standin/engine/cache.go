package engine

import (
	"container/list"
	"sync"

	"cactuswell/io/engine"
)

// maxCacheEvents limits the cache events that the engine keeps for its readers.
const maxCacheEvents = 4096

// cache is a prefix cache with LRU eviction. It keeps its latest changes as numbered
// events.
type cache struct {
	mu       sync.Mutex
	capacity int
	blocks   map[uint64]*list.Element
	recency  *list.List
	sequence uint64
	events   []engine.CacheEvent
	changed  chan struct{}
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		blocks:   make(map[uint64]*list.Element),
		recency:  list.New(),
		changed:  make(chan struct{}),
	}
}

// lookup returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *cache) lookup(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(hashes)
}

func (c *cache) insert(hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.recency.PushFront(hash)
		c.recordEvent("stored", hash)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.recency.Back()
		hash := c.recency.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.recordEvent("evicted", hash)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = make(map[uint64]*list.Element)
	c.recency.Init()
	c.recordEvent("cleared", 0)
}

// recordEvent must be called with the lock held.
func (c *cache) recordEvent(kind string, hash uint64) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{
		Sequence: c.sequence,
		Kind:     kind,
		Hash:     hash,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the kept events after sequence, and a channel that is closed when
// blocks are inserted next.
func (c *cache) eventsAfter(sequence uint64) ([]engine.CacheEvent, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := len(c.events)
	for first > 0 && c.events[first-1].Sequence > sequence {
		first--
	}
	return append([]engine.CacheEvent(nil), c.events[first:]...), c.changed
}
