package claim

import (
	"container/heap"
	"time"
)

// deadlines orders the waiting calls by the time at which they must have a
// decision. Calls that were decided before are skipped when they come up.
type deadlines struct {
	items deadlineHeap
}

type deadline struct {
	at   time.Time
	call CallID
}

func (d *deadlines) add(at time.Time, call CallID) {
	heap.Push(&d.items, deadline{
		at:   at,
		call: call,
	})
}

func (d *deadlines) next() (deadline, bool) {
	if len(d.items) == 0 {
		return deadline{}, false
	}
	return d.items[0], true
}

func (d *deadlines) pop() {
	heap.Pop(&d.items)
}

type deadlineHeap []deadline

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *deadlineHeap) Push(value any) {
	*h = append(*h, value.(deadline))
}

func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
