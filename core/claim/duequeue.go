package claim

import (
	"container/heap"
	"time"
)

// dueQueue is a priority queue of values ordered by their due time.
type dueQueue[T any] struct {
	items dueHeap[T]
}

type dueItem[T any] struct {
	at    time.Time
	value T
}

func (q *dueQueue[T]) add(at time.Time, value T) {
	heap.Push(&q.items, dueItem[T]{
		at:    at,
		value: value,
	})
}

// next returns the earliest due time. It reports false if the queue is empty.
func (q *dueQueue[T]) next() (time.Time, bool) {
	if len(q.items) == 0 {
		return time.Time{}, false
	}
	return q.items[0].at, true
}

// popDue removes and returns the earliest value that is due at now. It reports
// false if none is due.
func (q *dueQueue[T]) popDue(now time.Time) (T, bool) {
	if at, ok := q.next(); !ok || at.After(now) {
		var zero T
		return zero, false
	}
	return heap.Pop(&q.items).(dueItem[T]).value, true
}

type dueHeap[T any] []dueItem[T]

func (h dueHeap[T]) Len() int           { return len(h) }
func (h dueHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h dueHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *dueHeap[T]) Push(value any) {
	*h = append(*h, value.(dueItem[T]))
}

func (h *dueHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	var zero dueItem[T]
	old[len(old)-1] = zero
	*h = old[:len(old)-1]
	return last
}
