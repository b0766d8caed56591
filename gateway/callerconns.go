package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// requestTime is how long a connection is waited for at a stop, after it was taken
// and after it brought bytes of a request: callers send a request at once, and a
// lost packet is sent again within the time.
const requestTime = time.Second

// callerConns are the open connections of callers. http.Server closes idle
// connections without regard for a request that was read from one and not begun;
// this type closes only those from which nothing was read, and drops what comes
// later. It is safe for concurrent use.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// closing says that connections are closed as they become idle.
	closing bool
}

func newCallerConns() *callerConns {
	return &callerConns{
		open: make(map[*callerConn]struct{}),
	}
}

// listen returns a listener whose connections are followed.
func (c *callerConns) listen(inner net.Listener) net.Listener {
	return &callerListener{
		Listener: inner,
		conns:    c,
	}
}

// note follows the state of a connection, as http.Server tells it.
func (c *callerConns) note(conn net.Conn, state http.ConnState) {
	known, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known.serving = state == http.StateActive
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, known)
	case http.StateIdle:
		// An answer whose header went out before the stop did not say that it is
		// the last one.
		if c.closing && !known.awaited {
			c.close(known)
		}
	case http.StateNew, http.StateActive:
	}
}

// closeIdle closes the connections on which no request is served or awaited, and
// returns the number of the others, which are closed as they become idle.
func (c *callerConns) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	left := 0
	for conn := range c.open {
		if conn.serving || conn.awaited && now.Sub(conn.awaitedFrom) < requestTime {
			left++
			continue
		}
		c.close(conn)
	}
	return left
}

// close ends a connection. The caller holds c.mu.
func (c *callerConns) close(conn *callerConn) {
	conn.closed = true
	// The connection is given up; the server's reader sees its end.
	_ = conn.Close()
	delete(c.open, conn)
}

// callerListener follows the connections that it takes.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	taken := &callerConn{
		Conn:        conn,
		conns:       l.conns,
		awaited:     true,
		awaitedFrom: time.Now(),
	}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[taken] = struct{}{}
	return taken, nil
}

// callerConn is a connection of a caller. Its fields are guarded by conns.mu.
type callerConn struct {
	net.Conn
	conns *callerConns
	// awaited says that a request is to be expected: the connection is new, or
	// has brought bytes since the last answer.
	awaited     bool
	awaitedFrom time.Time
	// serving says that a request's header was read and its answer has not ended.
	serving bool
	closed  bool
}

// Read implements net.Conn. Bytes that come after the connection was closed as idle
// are dropped, so that no request is begun that cannot be answered.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.awaited = true
		c.awaitedFrom = time.Now()
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.conns.mu.Lock()
	c.awaited = false
	c.conns.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite ends the sending side, which http.Server uses where the caller may
// still be sending.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
