// Package ring provides the bounded queue that connects two duties of a host.
//
// A ring never blocks its producer: when the ring is full, the producer decides at
// once what to do (reject the item, drop the oldest, or merge).
//
// # Usage
//
//	events := ring.New[Event](1024)
//	if !events.TryPush(event) {
//		// reject the work behind the event
//	}
//
// The consumer waits for a signal and then drains the ring:
//
//	for {
//		select {
//		case <-ctx.Done():
//			return
//		case <-events.Ready():
//			for event, ok := events.Pop(); ok; event, ok = events.Pop() {
//				handle(event)
//			}
//		}
//	}
package ring

import "sync"

// Ring is a bounded FIFO queue for many producers and one consumer. It is safe for
// concurrent use.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	length  int
	dropped uint64
	ready   Signal
}

// New returns an empty ring for at most capacity items. A capacity below one is
// raised to one.
func New[T any](capacity int) *Ring[T] {
	return NewWithSignal[T](capacity, NewSignal())
}

// Signal wakes the consumer of a ring. Several rings with the same consumer may
// share one signal.
type Signal chan struct{}

// NewSignal returns a signal that several rings can share.
func NewSignal() Signal {
	return make(Signal, 1)
}

// NewWithSignal is like New, with a signal that may be shared with other rings.
func NewWithSignal[T any](capacity int, signal Signal) *Ring[T] {
	return &Ring[T]{
		items: make([]T, max(capacity, 1)),
		ready: signal,
	}
}

// TryPush appends item if there is room and reports whether there was.
func (r *Ring[T]) TryPush(item T) bool {
	r.mu.Lock()
	if r.length == len(r.items) {
		r.dropped++
		r.mu.Unlock()
		return false
	}
	r.append(item)
	r.mu.Unlock()
	r.notify()
	return true
}

// PushEvicting appends item, dropping the oldest item if the ring is full. It
// reports whether an item was dropped.
func (r *Ring[T]) PushEvicting(item T) bool {
	r.mu.Lock()
	evicted := r.length == len(r.items)
	if evicted {
		r.removeOldest()
		r.dropped++
	}
	r.append(item)
	r.mu.Unlock()
	r.notify()
	return evicted
}

// Pop removes and returns the oldest item. It reports false when the ring is
// empty.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.length == 0 {
		var zero T
		return zero, false
	}
	return r.removeOldest(), true
}

// Ready returns a channel that receives a value after items were pushed. One
// value may signal several items, so the consumer must drain the ring.
func (r *Ring[T]) Ready() <-chan struct{} {
	return r.ready
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Dropped returns the total number of items that were rejected or dropped because
// the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *Ring[T]) append(item T) {
	r.items[(r.head+r.length)%len(r.items)] = item
	r.length++
}

func (r *Ring[T]) removeOldest() T {
	item := r.items[r.head]
	var zero T
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.length--
	return item
}

func (r *Ring[T]) notify() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
