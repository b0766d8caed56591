// Package timer provides the timer service that the duties of a host subscribe
// to. One goroutine and one runtime timer serve all subscriptions.
//
// # Usage
//
//	timers := timer.New()
//	tree.Add(supervisor.Duty{Name: "timer", Run: timers.Run})
//	tick := timers.Every(time.Second)
//	defer tick.Stop()
//	for now := range tick.C() {
//		...
//	}
//
// Under testing/synctest the service uses the bubble's virtual clock.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service wakes its subscribers at the requested times. It is safe for concurrent
// use.
type Service struct {
	mu      sync.Mutex
	pending subscriptionHeap
	changed chan struct{}
}

// Subscription is a one-shot or periodic wake-up of one subscriber.
type Subscription struct {
	service *Service
	due     time.Time
	period  time.Duration
	index   int
	wake    chan time.Time
}

// notPending is the index of a subscription that is not in the heap.
const notPending = -1

// New returns a service. Subscribers are woken while Run runs.
func New() *Service {
	return &Service{
		changed: make(chan struct{}, 1),
	}
}

// Now returns the service's current time.
func (s *Service) Now() time.Time {
	return time.Now()
}

// At returns a subscription that fires once, at the given time.
func (s *Service) At(at time.Time) *Subscription {
	return s.subscribe(at, 0)
}

// After returns a subscription that fires once, after delay.
func (s *Service) After(delay time.Duration) *Subscription {
	return s.subscribe(s.Now().Add(delay), 0)
}

// Every returns a subscription that fires once per period. Wake-ups that the
// subscriber has not received yet are merged into one.
func (s *Service) Every(period time.Duration) *Subscription {
	return s.subscribe(s.Now().Add(period), period)
}

// Run wakes subscribers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		s.wakeDue(s.Now())
		alarm.Reset(s.untilNext())
		select {
		case <-ctx.Done():
			return nil
		case <-s.changed:
		case <-alarm.C:
		}
	}
}

// C returns the channel on which wake-ups are delivered.
func (s *Subscription) C() <-chan time.Time {
	return s.wake
}

// Reset sets the subscription's next wake-up to at, whether or not it has already
// fired.
func (s *Subscription) Reset(at time.Time) {
	s.service.mu.Lock()
	s.service.removePending(s)
	s.due = at
	heap.Push(&s.service.pending, s)
	s.service.mu.Unlock()
	s.service.notify()
}

// Stop cancels the subscription. A wake-up that was already delivered stays in the
// channel.
func (s *Subscription) Stop() {
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	s.service.removePending(s)
}

func (s *Service) subscribe(at time.Time, period time.Duration) *Subscription {
	subscription := &Subscription{
		service: s,
		due:     at,
		period:  period,
		index:   notPending,
		wake:    make(chan time.Time, 1),
	}
	s.mu.Lock()
	heap.Push(&s.pending, subscription)
	s.mu.Unlock()
	s.notify()
	return subscription
}

func (s *Service) removePending(subscription *Subscription) {
	if subscription.index != notPending {
		heap.Remove(&s.pending, subscription.index)
	}
}

func (s *Service) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Service) wakeDue(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !s.pending[0].due.After(now) {
		subscription := s.pending[0]
		select {
		case subscription.wake <- now:
		default:
		}
		if subscription.period == 0 {
			heap.Pop(&s.pending)
			continue
		}
		subscription.due = now.Add(subscription.period)
		heap.Fix(&s.pending, 0)
	}
}

func (s *Service) untilNext() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return time.Hour
	}
	return max(0, s.pending[0].due.Sub(s.Now()))
}

type subscriptionHeap []*Subscription

func (h subscriptionHeap) Len() int           { return len(h) }
func (h subscriptionHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h subscriptionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *subscriptionHeap) Push(value any) {
	subscription := value.(*Subscription)
	subscription.index = len(*h)
	*h = append(*h, subscription)
}

func (h *subscriptionHeap) Pop() any {
	old := *h
	last := len(old) - 1
	subscription := old[last]
	old[last] = nil
	subscription.index = notPending
	*h = old[:last]
	return subscription
}
