package admission

import "cactuswell/core/heap"

// class holds the queued entries of one class of one tier.
type class struct {
	name  string
	tier  *tier
	teams map[string]*team
	// active holds the teams with entries by start tag; evict those with
	// entries that may be evicted.
	active heap.Heap[*team]
	evict  heap.Heap[*team]
	// idle lists the teams that have no entry but still owe service, the
	// longest idle first.
	idle []*team
	// virtual is the start tag of the class's last service.
	virtual float64
	// tag is the start tag of the class's next service within its tier.
	tag    float64
	weight float64
	// minShare is the guaranteed share; due is the queue's service at which
	// the class is owed its next part; running is the number of slots that it holds.
	minShare float64
	due      float64
	running  int
	reserve  int
	length   int
	pinned   int
	cost     float64

	activeIndex int
	evictIndex  int
	dueIndex    int
	belowIndex  int
}

func newClass(name string, tier *tier) *class {
	return &class{
		name:        name,
		tier:        tier,
		teams:       make(map[string]*team),
		active:      heap.New(teamEarlier, placeTeamActive),
		evict:       heap.New(teamWorthLess, placeTeamEvict),
		activeIndex: heap.NoIndex,
		evictIndex:  heap.NoIndex,
		dueIndex:    heap.NoIndex,
		belowIndex:  heap.NoIndex,
	}
}

// evictable reports whether the class has more entries than its reserve, at
// least one of which may be evicted.
func (c *class) evictable() bool {
	return c.counted() > 0 && c.evict.Len() > 0
}

// counted returns how many entries of the class count against the pool's bound.
// Pinned ones don't, as they can't be evicted.
func (c *class) counted() int {
	return max(0, c.length-c.pinned-c.reserve)
}

func classEarlier(a, b *class) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func classDueEarlier(a, b *class) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	if a.tier.number != b.tier.number {
		return a.tier.number < b.tier.number
	}
	return a.name < b.name
}

// classBelowEarlier orders classes that hold fewer slots than they are sure of:
// by tier, then by when they are owed service.
func classBelowEarlier(a, b *class) bool {
	if a.tier.number != b.tier.number {
		return a.tier.number < b.tier.number
	}
	return classDueEarlier(a, b)
}

func classWorthLess(a, b *class) bool {
	mine, other := a.evict.Top().worth.Top().Value, b.evict.Top().worth.Top().Value
	if mine != other {
		return mine < other
	}
	if a.length != b.length {
		return a.length > b.length
	}
	return a.name < b.name
}

func placeClassActive(c *class, index int) { c.activeIndex = index }
func placeClassEvict(c *class, index int)  { c.evictIndex = index }
func placeClassBelow(c *class, index int)  { c.belowIndex = index }
func placeClassDue(c *class, index int)    { c.dueIndex = index }
