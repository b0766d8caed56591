package admission

import (
	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// tier holds the classes of one service tier.
type tier struct {
	tier             profile.Tier
	classes          map[string]*class
	activeClasses    heap.Heap[*class]
	evictableClasses heap.Heap[*class]
	// virtualTime is the highest start tag at which a class was served so far;
	// maxStartTag is the highest start tag of any class so far, to which
	// virtualTime is raised when the tier becomes empty.
	virtualTime   float64
	maxStartTag   float64
	queuedEntries int
	// heldSlots is the number of slots in use by the tier's requests.
	heldSlots  int
	queuedCost float64
}

func newTier(serviceTier profile.Tier) *tier {
	return &tier{
		tier:             serviceTier,
		classes:          make(map[string]*class),
		activeClasses:    heap.New(classTagEarlier, setClassActiveIndex),
		evictableClasses: heap.New(classLessValuable, setClassEvictIndex),
	}
}
