package admission

import (
	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// tier holds the classes of one service tier.
type tier struct {
	number           profile.Tier
	classes          map[string]*class
	activeClasses    heap.Heap[*class]
	evictableClasses heap.Heap[*class]
	// virtualTime is the start tag of the class served last; maxStartTag is the
	// highest start tag of any class so far.
	virtualTime float64
	maxStartTag float64
	length      int
	// heldSlots is the number of slots in use by the tier's requests.
	heldSlots  int
	queuedCost float64
}

func newTier(number profile.Tier) *tier {
	return &tier{
		number:           number,
		classes:          make(map[string]*class),
		activeClasses:    heap.New(classTagEarlier, setClassActiveIndex),
		evictableClasses: heap.New(classLessValuable, setClassEvictIndex),
	}
}
