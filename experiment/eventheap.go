package experiment

// scheduledEvent is a function that runs at a point in virtual time, in nanoseconds
// since the start of the run. Events at the same time run in the order in which they
// were scheduled.
type scheduledEvent struct {
	at       int64
	sequence uint64
	run      func()
}

func (s *scheduledEvent) isBefore(other *scheduledEvent) bool {
	if s.at != other.at {
		return s.at < other.at
	}
	return s.sequence < other.sequence
}

// eventHeap is a binary heap of scheduled events with the earliest first.
type eventHeap struct {
	items        []scheduledEvent
	lastSequence uint64
}

func (h *eventHeap) push(at int64, run func()) {
	h.lastSequence++
	item := scheduledEvent{
		at:       at,
		sequence: h.lastSequence,
		run:      run,
	}
	h.items = append(h.items, item)
	index := len(h.items) - 1
	for index > 0 {
		parent := (index - 1) / 2
		if !item.isBefore(&h.items[parent]) {
			break
		}
		h.items[index] = h.items[parent]
		index = parent
	}
	h.items[index] = item
}

func (h *eventHeap) pop() (scheduledEvent, bool) {
	if len(h.items) == 0 {
		return scheduledEvent{}, false
	}
	first := h.items[0]
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = scheduledEvent{}
	h.items = h.items[:len(h.items)-1]
	if len(h.items) > 0 {
		h.siftDown(last)
	}
	return first, true
}

// siftDown inserts item at the root and moves it down to its position.
func (h *eventHeap) siftDown(item scheduledEvent) {
	index := 0
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.items[child+1].isBefore(&h.items[child]) {
			child++
		}
		if !h.items[child].isBefore(&item) {
			break
		}
		h.items[index] = h.items[child]
		index = child
	}
	h.items[index] = item
}
