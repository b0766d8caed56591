package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTime is how long after a connection was taken its first request is
// waited for at a stop: callers send it at once, and a lost packet is sent again
// within the time.
const firstRequestTime = time.Second

// newConns are the callers' connections that have not brought a request yet. It is
// safe for concurrent use.
type newConns struct {
	mu    sync.Mutex
	taken map[net.Conn]time.Time
}

func newNewConns() *newConns {
	return &newConns{
		taken: make(map[net.Conn]time.Time),
	}
}

// note follows the state of a connection, as http.Server tells it.
func (n *newConns) note(conn net.Conn, state http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if state == http.StateNew {
		n.taken[conn] = time.Now()
		return
	}
	delete(n.taken, conn)
}

// awaited returns the number of connections whose first request may still come.
func (n *newConns) awaited(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	awaited := 0
	for _, takenAt := range n.taken {
		if now.Sub(takenAt) < firstRequestTime {
			awaited++
		}
	}
	return awaited
}
