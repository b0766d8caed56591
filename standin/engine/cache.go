package engine

import (
	"container/list"
	"sync"

	"cactuswell/io/engine"
)

// maxCacheEvents bounds the cache events that the engine still remembers.
const maxCacheEvents = 4096

// cache is a prefix cache that evicts the block used longest ago, with the
// events that tell of it.
type cache struct {
	mu       sync.Mutex
	capacity int
	blocks   map[uint64]*list.Element
	order    *list.List
	sequence uint64
	events   []engine.CacheEvent
	changed  chan struct{}
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		blocks:   make(map[uint64]*list.Element),
		order:    list.New(),
		changed:  make(chan struct{}),
	}
}

// lookup returns how many leading blocks are cached.
func (c *cache) lookup(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

func (c *cache) store(hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		c.record("stored", hash)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.record("evicted", hash)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = make(map[uint64]*list.Element)
	c.order.Init()
	c.record("cleared", 0)
}

// record must be called with the lock held.
func (c *cache) record(kind string, hash uint64) {
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

// eventsAfter returns the remembered events after sequence and a channel closed
// at the next change.
func (c *cache) eventsAfter(sequence uint64) ([]engine.CacheEvent, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := len(c.events)
	for first > 0 && c.events[first-1].Sequence > sequence {
		first--
	}
	return append([]engine.CacheEvent(nil), c.events[first:]...), c.changed
}
