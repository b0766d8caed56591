// Package ring provides the bounded queue that joins two duties of a host.
//
// A ring never blocks its producer: a full ring is a decision that the
// producer takes at once (refuse, drop the oldest, or merge).
//
// # Usage
//
//	events := ring.New[Event](1024)
//	if !events.TryPush(event) {
//		// refuse the work that the event stands for
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

// Ring is a bounded first-in-first-out queue for many producers and one
// consumer. It is safe for concurrent use.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	length  int
	dropped uint64
	ready   Signal
}

// New returns an empty ring that holds at most capacity items. A capacity
// below one is taken as one.
func New[T any](capacity int) *Ring[T] {
	return NewWithSignal[T](capacity, NewSignal())
}

// Signal is what a ring's consumer waits on. Several rings with one consumer
// may share one.
type Signal chan struct{}

// NewSignal returns a signal for several rings to share.
func NewSignal() Signal {
	return make(Signal, 1)
}

// NewWithSignal is New with a signal that may be shared with other rings.
func NewWithSignal[T any](capacity int, signal Signal) *Ring[T] {
	return &Ring[T]{
		items: make([]T, max(capacity, 1)),
		ready: signal,
	}
}

// TryPush appends item and reports whether there was room.
func (r *Ring[T]) TryPush(item T) bool {
	r.mu.Lock()
	if r.length == len(r.items) {
		r.dropped++
		r.mu.Unlock()
		return false
	}
	r.append(item)
	r.mu.Unlock()
	r.signal()
	return true
}

// PushEvicting appends item and drops the oldest item if there is no room. It
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
	r.signal()
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
// value may stand for several items, so the consumer drains the ring.
func (r *Ring[T]) Ready() <-chan struct{} {
	return r.ready
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Dropped returns how many items found no room since the ring was made.
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

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
