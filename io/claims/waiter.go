package claims

import "sync/atomic"

// waiter is where a caller waits for the decider. Either the answer is
// delivered or the caller leaves, never both.
type waiter struct {
	answers chan answer
	settled atomic.Bool
}

type answer struct {
	decision Decision
	key      string
}

func newWaiter() *waiter {
	return &waiter{
		answers: make(chan answer, 1),
	}
}

// deliver reports whether the caller was still waiting.
func (w *waiter) deliver(a answer) bool {
	if !w.settled.CompareAndSwap(false, true) {
		return false
	}
	w.answers <- a
	return true
}

// leave reports whether the caller left before an answer was delivered.
func (w *waiter) leave() bool {
	return w.settled.CompareAndSwap(false, true)
}
