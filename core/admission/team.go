package admission

import (
	"time"

	"cactuswell/core/heap"
)

// team holds the queued entries of one team in one class.
type team struct {
	name  string
	class *class
	// viable holds the entries that can still meet their target, as far as the
	// queue has looked, the earliest deadline first; late holds the others.
	viable heap.Heap[*Entry]
	late   lateList
	// worth holds the entries that may be evicted, the least valuable first.
	worth heap.Heap[*Entry]
	// tag is the start tag of the team's next service.
	tag    float64
	cost   float64
	active int
	evict  int
	idle   bool
}

func newTeam() *team {
	return &team{
		viable: heap.New(earlier, placeReady),
		worth:  heap.New(worthLess, placeWorth),
		active: heap.NoIndex,
		evict:  heap.NoIndex,
	}
}

func (t *team) len() int {
	return t.viable.Len() + t.late.length
}

func (t *team) add(entry *Entry) {
	entry.team = t
	entry.late = false
	entry.worth = heap.NoIndex
	t.viable.Push(entry)
	t.cost += entry.Cost
	if !entry.Pinned {
		t.worth.Push(entry)
	}
}

func (t *team) remove(entry *Entry) {
	if entry.late {
		t.late.remove(entry)
	} else {
		t.viable.Remove(entry.ready)
	}
	if entry.worth != heap.NoIndex {
		t.worth.Remove(entry.worth)
	}
	t.cost -= entry.Cost
	entry.team = nil
}

// head returns the entry to serve next. Each entry moves from viable to late at
// most once, so the cost is logarithmic over an entry's life.
func (t *team) head(now time.Time) *Entry {
	t.sort(now)
	if t.viable.Len() > 0 {
		return t.viable.Top()
	}
	return t.late.newest
}

// sort moves the entries that can no longer meet their target to the late ones.
func (t *team) sort(now time.Time) {
	for t.viable.Len() > 0 {
		entry := t.viable.Top()
		if entry.Pinned || !entry.LatestStart.Before(now) {
			return
		}
		t.viable.Remove(entry.ready)
		entry.late = true
		t.late.add(entry)
	}
}

// teamEarlier orders the teams of a class by start tag.
func teamEarlier(a, b *team) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

// teamWorthLess orders the teams of a class by their least valuable entry, then
// the longest queue first.
func teamWorthLess(a, b *team) bool {
	if a.worth.Top().Value != b.worth.Top().Value {
		return a.worth.Top().Value < b.worth.Top().Value
	}
	if a.len() != b.len() {
		return a.len() > b.len()
	}
	return a.name < b.name
}

func placeTeamActive(t *team, index int) { t.active = index }
func placeTeamEvict(t *team, index int)  { t.evict = index }
