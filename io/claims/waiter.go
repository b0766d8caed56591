package claims

import "sync/atomic"

// waiter receives the decider's response to one request. Either the response is
// delivered or the wait is canceled, never both.
type waiter struct {
	responses chan response
	resolved  atomic.Bool
}

type response struct {
	decision Decision
	key      string
}

func newWaiter() *waiter {
	return &waiter{
		responses: make(chan response, 1),
	}
}

// deliver delivers the response unless the wait was canceled. It reports
// whether it was delivered.
func (w *waiter) deliver(r response) bool {
	if !w.resolved.CompareAndSwap(false, true) {
		return false
	}
	w.responses <- r
	return true
}

// cancel cancels the wait unless a response was delivered. It reports whether
// the wait was canceled.
func (w *waiter) cancel() bool {
	return w.resolved.CompareAndSwap(false, true)
}
