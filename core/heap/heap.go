// Package heap provides a binary heap that reports to each value its current
// index, so that any value can be removed or reordered in logarithmic time.
//
// # Usage
//
//	timers := heap.New(earlier, func(t *timer, index int) { t.index = index })
//	timers.Push(first)
//	timers.Fix(first.index)
//	timers.Remove(first.index)
//
// A heap allocates only when its slice grows. It is not safe for concurrent
// use.
package heap

// NoIndex is the index of a value that is in no heap.
const NoIndex = -1

// Heap is a binary heap with the least value on top.
type Heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(value T, index int)
}

// New returns an empty heap ordered by less. The heap calls setIndex whenever a
// value's index changes, with NoIndex when the value is removed.
func New[T any](less func(a, b T) bool, setIndex func(value T, index int)) Heap[T] {
	return Heap[T]{
		less:     less,
		setIndex: setIndex,
	}
}

// Len returns the number of values.
func (h *Heap[T]) Len() int {
	return len(h.items)
}

// Top returns the least value. The heap must not be empty.
func (h *Heap[T]) Top() T {
	return h.items[0]
}

// At returns the value at index. Values other than the top are in no particular
// order.
func (h *Heap[T]) At(index int) T {
	return h.items[index]
}

// Push adds value to the heap.
func (h *Heap[T]) Push(value T) {
	h.items = append(h.items, value)
	h.setIndex(value, len(h.items)-1)
	h.siftUp(len(h.items) - 1)
}

// Remove removes the value at index.
func (h *Heap[T]) Remove(index int) {
	last := len(h.items) - 1
	removed := h.items[index]
	if index != last {
		h.swap(index, last)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(removed, NoIndex)
	if index != last {
		h.Fix(index)
	}
}

// Fix restores the heap order after the value at index has changed.
func (h *Heap[T]) Fix(index int) {
	if !h.siftDown(index) {
		h.siftUp(index)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *Heap[T]) siftUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(h.items[index], h.items[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

func (h *Heap[T]) siftDown(index int) bool {
	moved := false
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			return moved
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[index]) {
			return moved
		}
		h.swap(index, child)
		index = child
		moved = true
	}
}
