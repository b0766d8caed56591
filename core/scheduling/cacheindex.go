package scheduling

import (
	"container/list"
	"time"
)

// CachedPrefixBytes is about the memory that one prefix in the index of one endpoint takes.
const CachedPrefixBytes = 256

// cacheIndex estimates which prompt prefixes an engine has cached, by their hashes.
// The least recently used prefix is evicted first.
type cacheIndex struct {
	lru    *list.List
	byHash map[uint64]*cacheItem
	tokens int
	budget *prefixBudget
}

type cacheItem struct {
	index      *cacheIndex
	prefixHash uint64
	tokens     int
	// usedAt is when a prompt with the prefix was last sent to the endpoint, and
	// prefilledAt when its prefill has probably finished.
	usedAt      time.Time
	prefilledAt time.Time
	// position is the item's place in the index, and budgetPosition that in the budget.
	position       *list.Element
	budgetPosition *list.Element
}

// prefixBudget bounds the prefixes in the indexes of all endpoints together. The least recently
// used prefix of all is evicted first. What an engine holds is bounded by its tokens, which
// says little about this host's memory: a prompt may consist of very many short parts.
type prefixBudget struct {
	// limit is the maximum number of prefixes, or zero if there is none.
	limit int
	lru   *list.List
}

func newPrefixBudget(limit int) *prefixBudget {
	return &prefixBudget{
		limit: limit,
		lru:   list.New(),
	}
}

// add adds an item and evicts others beyond the limit.
func (b *prefixBudget) add(item *cacheItem) {
	item.budgetPosition = b.lru.PushBack(item)
	for b.limit > 0 && b.lru.Len() > b.limit {
		oldest := b.lru.Front().Value.(*cacheItem)
		oldest.index.remove(oldest)
	}
}

// CachedPrefixes returns the number of prefixes that the host remembers of all endpoints together.
func (s *Scheduler) CachedPrefixes() int { return s.prefixes.lru.Len() }

func newCacheIndex(budget *prefixBudget) *cacheIndex {
	return &cacheIndex{
		lru:    list.New(),
		byHash: make(map[uint64]*cacheItem),
		budget: budget,
	}
}

func (c *cacheIndex) has(prefixHash uint64) bool {
	_, ok := c.byHash[prefixHash]
	return ok
}

// usedSince reports whether a prompt with the prefix was sent to the endpoint after
// the given time.
func (c *cacheIndex) usedSince(prefixHash uint64, since time.Time) bool {
	item, ok := c.lookup(prefixHash)
	return ok && item.usedAt.After(since)
}

// lookup returns the entry of a prefix.
func (c *cacheIndex) lookup(prefixHash uint64) (*cacheItem, bool) {
	item, ok := c.byHash[prefixHash]
	return item, ok
}

// add adds a prefix whose last part has the given size and whose prefill finishes
// at prefilledAt. A known prefix is only marked as used. A part takes room for one token at
// least, so that the index is bounded.
func (c *cacheIndex) add(now, prefilledAt time.Time, prefixHash uint64, tokens, capacity int) {
	if item, ok := c.byHash[prefixHash]; ok {
		item.usedAt = now
		c.lru.MoveToBack(item.position)
		c.budget.lru.MoveToBack(item.budgetPosition)
		return
	}
	item := &cacheItem{
		index:       c,
		prefixHash:  prefixHash,
		tokens:      max(tokens, 1),
		usedAt:      now,
		prefilledAt: prefilledAt,
	}
	item.position = c.lru.PushBack(item)
	c.byHash[prefixHash] = item
	c.tokens += item.tokens
	for c.tokens > capacity && c.lru.Len() > 1 {
		c.remove(c.lru.Front().Value.(*cacheItem))
	}
	c.budget.add(item)
}

// remove removes an item from the index and from the budget.
func (c *cacheIndex) remove(item *cacheItem) {
	c.lru.Remove(item.position)
	c.budget.lru.Remove(item.budgetPosition)
	delete(c.byHash, item.prefixHash)
	c.tokens -= item.tokens
}

// clear removes all items.
func (c *cacheIndex) clear() {
	for c.lru.Len() > 0 {
		c.remove(c.lru.Front().Value.(*cacheItem))
	}
}
