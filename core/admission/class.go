package admission

import "cactuswell/core/heap"

// class holds the queued entries of one class of one tier.
type class struct {
	name  string
	tier  *tier
	teams map[string]*team
	// activeTeams holds the teams with queued entries, ordered by start tag.
	// evictableTeams holds the teams that have evictable entries, the least
	// valuable first.
	activeTeams    heap.Heap[*team]
	evictableTeams heap.Heap[*team]
	// idleTeams lists the teams that have no queued entry but whose start tag is
	// still ahead of the class's virtual time, the longest idle first.
	idleTeams []*team
	// virtualTime is the highest start tag at which a team was served so far.
	virtualTime float64
	// startTag is the class's start tag within its tier.
	startTag float64
	weight   float64
	// minShare is the guaranteed share as configured, before scaling. shareDue
	// is the value of Queue.totalService from which the class may be served next
	// on that share.
	minShare     float64
	shareDue     float64
	heldSlots    int
	reserve      int
	length       int
	pinnedLength int
	queuedCost   float64

	activeIndex     int
	evictIndex      int
	dueShareIndex   int
	belowShareIndex int
}

func newClass(name string, tier *tier) *class {
	return &class{
		name:            name,
		tier:            tier,
		teams:           make(map[string]*team),
		activeTeams:     heap.New(teamTagEarlier, setTeamActiveIndex),
		evictableTeams:  heap.New(teamLessValuable, setTeamEvictIndex),
		activeIndex:     heap.NoIndex,
		evictIndex:      heap.NoIndex,
		dueShareIndex:   heap.NoIndex,
		belowShareIndex: heap.NoIndex,
	}
}

// evictable reports whether the class exceeds its reserve and has an entry that
// may be evicted.
func (c *class) evictable() bool {
	return c.boundedLength() > 0 && c.evictableTeams.Len() > 0
}

// boundedLength returns how many entries of the class count against the queue
// bound: those beyond the reserve, without pinned entries, which can't be
// evicted.
func (c *class) boundedLength() int {
	return max(0, c.length-c.pinnedLength-c.reserve)
}

func classTagEarlier(a, b *class) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

func classShareDueEarlier(a, b *class) bool {
	if a.shareDue != b.shareDue {
		return a.shareDue < b.shareDue
	}
	if a.tier.tier != b.tier.tier {
		return a.tier.tier < b.tier.tier
	}
	return a.name < b.name
}

// classBelowShareEarlier orders classes that hold fewer slots than their
// guaranteed share: by tier, then by shareDue.
func classBelowShareEarlier(a, b *class) bool {
	if a.tier.tier != b.tier.tier {
		return a.tier.tier < b.tier.tier
	}
	return classShareDueEarlier(a, b)
}

func classLessValuable(a, b *class) bool {
	valueA, valueB := a.evictableTeams.Top().evictableEntries.Top().Value, b.evictableTeams.Top().evictableEntries.Top().Value
	if valueA != valueB {
		return valueA < valueB
	}
	if a.length != b.length {
		return a.length > b.length
	}
	return a.name < b.name
}

func setClassActiveIndex(c *class, index int)     { c.activeIndex = index }
func setClassEvictIndex(c *class, index int)      { c.evictIndex = index }
func setClassBelowShareIndex(c *class, index int) { c.belowShareIndex = index }
func setClassDueShareIndex(c *class, index int)   { c.dueShareIndex = index }
