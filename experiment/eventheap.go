package experiment

import (
	"container/heap"
	"time"
)

// scheduled is something that happens at a time. Those of one time happen in the
// order in which they were scheduled.
type scheduled struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap holds what is to happen, the earliest first.
type eventHeap struct {
	items    []scheduled
	sequence uint64
}

func (h *eventHeap) Len() int { return len(h.items) }

func (h *eventHeap) Less(i, j int) bool {
	if h.items[i].at.Equal(h.items[j].at) {
		return h.items[i].sequence < h.items[j].sequence
	}
	return h.items[i].at.Before(h.items[j].at)
}

func (h *eventHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push is for container/heap.
func (h *eventHeap) Push(item any) { h.items = append(h.items, item.(scheduled)) }

// Pop is for container/heap.
func (h *eventHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

func (h *eventHeap) add(at time.Time, run func()) {
	h.sequence++
	heap.Push(h, scheduled{
		at:       at,
		sequence: h.sequence,
		run:      run,
	})
}

func (h *eventHeap) next() (scheduled, bool) {
	if len(h.items) == 0 {
		return scheduled{}, false
	}
	return heap.Pop(h).(scheduled), true
}
