package admission

import (
	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// tier holds the classes of one priority.
type tier struct {
	number  profile.Tier
	classes map[string]*class
	active  heap.Heap[*class]
	evict   heap.Heap[*class]
	// virtual is the start tag of the tier's last service, lastTag the highest
	// tag given to a class.
	virtual float64
	lastTag float64
	length  int
	// running is the number of slots that the tier holds.
	running int
	cost    float64
}

func newTier(number profile.Tier) *tier {
	return &tier{
		number:  number,
		classes: make(map[string]*class),
		active:  heap.New(classEarlier, placeClassActive),
		evict:   heap.New(classWorthLess, placeClassEvict),
	}
}
