package experiment

// scheduled is something that happens at a time, in nanoseconds of the run.
// Those of one time happen in the order in which they were scheduled.
type scheduled struct {
	at       int64
	sequence uint64
	run      func()
}

func (s *scheduled) before(other *scheduled) bool {
	if s.at != other.at {
		return s.at < other.at
	}
	return s.sequence < other.sequence
}

// eventHeap holds what is to happen, the earliest first, as a binary heap.
type eventHeap struct {
	items    []scheduled
	sequence uint64
}

func (h *eventHeap) add(at int64, run func()) {
	h.sequence++
	item := scheduled{
		at:       at,
		sequence: h.sequence,
		run:      run,
	}
	h.items = append(h.items, item)
	place := len(h.items) - 1
	for place > 0 {
		parent := (place - 1) / 2
		if !item.before(&h.items[parent]) {
			break
		}
		h.items[place] = h.items[parent]
		place = parent
	}
	h.items[place] = item
}

func (h *eventHeap) next() (scheduled, bool) {
	if len(h.items) == 0 {
		return scheduled{}, false
	}
	first := h.items[0]
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = scheduled{}
	h.items = h.items[:len(h.items)-1]
	if len(h.items) > 0 {
		h.sink(last)
	}
	return first, true
}

// sink places item, starting from the top.
func (h *eventHeap) sink(item scheduled) {
	place := 0
	for {
		child := 2*place + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.items[child+1].before(&h.items[child]) {
			child++
		}
		if !h.items[child].before(&item) {
			break
		}
		h.items[place] = h.items[child]
		place = child
	}
	h.items[place] = item
}
