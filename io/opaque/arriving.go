package opaque

import (
	"context"
	"sync"
	"sync/atomic"

	"cactuswell/core/clientbudget"
	"cactuswell/io/clientconns"
)

// arrivingBodies are the bodies that are arriving. If the memory for bodies is short, those
// that make no progress are refused. It is safe for concurrent use.
type arrivingBodies struct {
	mu   sync.Mutex
	open map[*arrivingBody]struct{}
}

// arrivingBody is a body that is arriving.
type arrivingBody struct {
	conn *clientconns.Conn
	// taken is the memory that the body has taken.
	taken atomic.Int64
}

// begin begins the arrival of a body. The returned function ends it, and reports false if the
// request must be refused as its body was evicted.
func (a *arrivingBodies) begin(ctx context.Context, body *buffer) (end func() bool) {
	conn := clientconns.FromContext(ctx)
	if conn == nil {
		return func() bool { return true }
	}
	arriving := &arrivingBody{conn: conn}
	body.onGrow = arriving.taken.Store
	conn.BeginBody()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[arriving] = struct{}{}
	return func() bool {
		a.mu.Lock()
		delete(a.open, arriving)
		a.mu.Unlock()
		return conn.EndBody()
	}
}

// makeRoom refuses bodies to free n bytes. It reports false if they do not
// suffice.
func (a *arrivingBodies) makeRoom(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	bodies := make([]*arrivingBody, 0, len(a.open))
	arrivals := make([]clientbudget.Arrival, 0, len(a.open))
	for body := range a.open {
		arrival := body.conn.Arrival()
		arrival.Taken = body.taken.Load()
		bodies = append(bodies, body)
		arrivals = append(arrivals, arrival)
	}
	selected := clientbudget.SelectArrivals(arrivals, n)
	for _, i := range selected {
		bodies[i].conn.FailBody()
		delete(a.open, bodies[i])
	}
	return len(selected) > 0
}

// failAll refuses all bodies that are arriving.
func (a *arrivingBodies) failAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for body := range a.open {
		body.conn.FailBody()
	}
	clear(a.open)
}
