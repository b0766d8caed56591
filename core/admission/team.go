package admission

import (
	"time"

	"cactuswell/core/heap"
)

// team holds the queued entries of one team in one class.
type team struct {
	name  string
	class *class
	// viable holds the entries that could still meet their target when they
	// were last checked, the earliest deadline first; late holds the others.
	viable heap.Heap[*Entry]
	late   lateList
	// evictableEntries holds the entries that are not pinned, the least valuable
	// first.
	evictableEntries heap.Heap[*Entry]
	// startTag is the team's start tag within its class.
	startTag    float64
	queuedCost  float64
	activeIndex int
	evictIndex  int
	isIdle      bool
}

func newTeam() *team {
	return &team{
		viable:           heap.New(deadlineEarlier, setViableIndex),
		evictableEntries: heap.New(lessValuable, setEvictIndex),
		activeIndex:      heap.NoIndex,
		evictIndex:       heap.NoIndex,
	}
}

func (t *team) len() int {
	return t.viable.Len() + t.late.length
}

func (t *team) add(entry *Entry) {
	entry.team = t
	entry.late = false
	entry.evictIndex = heap.NoIndex
	t.viable.Push(entry)
	t.queuedCost += entry.Cost
	if !entry.Pinned {
		t.evictableEntries.Push(entry)
	}
}

func (t *team) remove(entry *Entry) {
	if entry.late {
		t.late.remove(entry)
	} else {
		t.viable.Remove(entry.viableIndex)
	}
	if entry.evictIndex != heap.NoIndex {
		t.evictableEntries.Remove(entry.evictIndex)
	}
	t.queuedCost -= entry.Cost
	entry.team = nil
}

// next returns the entry to serve next. Each entry moves from viable to late at
// most once, so the cost per entry stays logarithmic.
func (t *team) next(now time.Time) *Entry {
	t.moveLate(now)
	if t.viable.Len() > 0 {
		return t.viable.Top()
	}
	return t.late.newest
}

// moveLate moves the entries that can no longer meet their target from viable to
// late.
func (t *team) moveLate(now time.Time) {
	for t.viable.Len() > 0 {
		entry := t.viable.Top()
		if entry.Pinned || !entry.LatestStart.Before(now) {
			return
		}
		t.viable.Remove(entry.viableIndex)
		entry.late = true
		t.late.add(entry)
	}
}

// teamTagEarlier orders the teams of a class by start tag.
func teamTagEarlier(a, b *team) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

// teamLessValuable orders the teams of a class for eviction: by their least
// valuable entry, then the longest queue first.
func teamLessValuable(a, b *team) bool {
	if a.evictableEntries.Top().Value != b.evictableEntries.Top().Value {
		return a.evictableEntries.Top().Value < b.evictableEntries.Top().Value
	}
	if a.len() != b.len() {
		return a.len() > b.len()
	}
	return a.name < b.name
}

func setTeamActiveIndex(t *team, index int) { t.activeIndex = index }
func setTeamEvictIndex(t *team, index int)  { t.evictIndex = index }
