package claim

import (
	"container/heap"
	"time"
)

// alarms orders values by the time at which something is due for them.
type alarms[T any] struct {
	items alarmHeap[T]
}

type alarm[T any] struct {
	at    time.Time
	value T
}

func (a *alarms[T]) add(at time.Time, value T) {
	heap.Push(&a.items, alarm[T]{
		at:    at,
		value: value,
	})
}

// next returns the time of the first alarm. It reports false if there is none.
func (a *alarms[T]) next() (time.Time, bool) {
	if len(a.items) == 0 {
		return time.Time{}, false
	}
	return a.items[0].at, true
}

// popDue removes and returns the first alarm that is due at now.
func (a *alarms[T]) popDue(now time.Time) (T, bool) {
	if at, ok := a.next(); !ok || at.After(now) {
		var zero T
		return zero, false
	}
	return heap.Pop(&a.items).(alarm[T]).value, true
}

type alarmHeap[T any] []alarm[T]

func (h alarmHeap[T]) Len() int           { return len(h) }
func (h alarmHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h alarmHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

func (h *alarmHeap[T]) Push(value any) {
	*h = append(*h, value.(alarm[T]))
}

func (h *alarmHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	var zero alarm[T]
	old[len(old)-1] = zero
	*h = old[:len(old)-1]
	return last
}
