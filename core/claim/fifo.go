package claim

// fifo is a first-in-first-out queue that releases the memory of removed items.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) push(item T) {
	f.items = append(f.items, item)
}

func (f *fifo[T]) peek() (T, bool) {
	if f.head == len(f.items) {
		var zero T
		return zero, false
	}
	return f.items[f.head], true
}

// last returns the most recently pushed item. It reports false if the queue is
// empty.
func (f *fifo[T]) last() (T, bool) {
	if f.head == len(f.items) {
		var zero T
		return zero, false
	}
	return f.items[len(f.items)-1], true
}

func (f *fifo[T]) pop() (T, bool) {
	item, ok := f.peek()
	if !ok {
		return item, false
	}
	var zero T
	f.items[f.head] = zero
	f.head++
	if f.head > len(f.items)/2 {
		f.items = append([]T(nil), f.items[f.head:]...)
		f.head = 0
	}
	return item, true
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }
