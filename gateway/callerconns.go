package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cactuswell/io/clientconns"
	"cactuswell/io/opaque"
	"cactuswell/io/tcp"
)

// requestGracePeriod is how long a shutdown waits for a request on a connection
// after the connection was accepted or last received bytes. Callers send a
// request immediately, and TCP retransmits a lost packet within this time.
const requestGracePeriod = time.Second

// callerConns tracks the open connections of callers. http.Server closes idle
// connections even if it has read a request from them that it has not started to
// serve. This type closes only connections on which no request is served or
// expected, and discards bytes that arrive later. It is safe for concurrent use.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// closeWhenIdle is set during shutdown: connections are closed as they become
	// idle.
	closeWhenIdle bool
}

func newCallerConns() *callerConns {
	return &callerConns{
		open: make(map[*callerConn]struct{}),
	}
}

// listen returns a listener whose connections are tracked.
func (c *callerConns) listen(inner net.Listener) net.Listener {
	return &callerListener{
		Listener: inner,
		conns:    c,
	}
}

// trackState records the state of a connection. It is the ConnState hook of
// http.Server.
func (c *callerConns) trackState(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked.serving = state == http.StateActive
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, tracked)
	case http.StateIdle:
		// An answer whose header was sent before the shutdown started has no
		// "Connection: close".
		if c.closeWhenIdle && !tracked.expectsRequest {
			c.closeLocked(tracked)
		}
	case http.StateNew, http.StateActive:
	}
}

// withCallerConn lets calls find the connection over which they arrived. It is the ConnContext
// hook of http.Server.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return ctx
	}
	return opaque.WithCallerConn(clientconns.WithConn(ctx, tracked), tracked)
}

// closeIdle closes the connections on which no request is served or expected. It
// returns the number of the other connections, which are closed as they become
// idle.
func (c *callerConns) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	remaining := 0
	for conn := range c.open {
		if conn.serving || conn.expectsRequest && now.Sub(conn.expectsRequestSince) < requestGracePeriod {
			remaining++
			continue
		}
		c.closeLocked(conn)
	}
	return remaining
}

// closeLocked closes a connection. The caller of closeLocked holds c.mu.
func (c *callerConns) closeLocked(conn *callerConn) {
	conn.closed = true
	// The error doesn't matter: the server's next read fails in any case.
	_ = conn.Close()
	delete(c.open, conn)
}

// callerListener tracks the connections that it accepts.
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
	tracked := &callerConn{
		Conn:                conn,
		conns:               l.conns,
		expectsRequest:      true,
		expectsRequestSince: time.Now(),
	}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[tracked] = struct{}{}
	return tracked, nil
}

// callerConn is a connection of a caller. Its fields are guarded by conns.mu.
type callerConn struct {
	net.Conn
	conns *callerConns
	// expectsRequest reports whether a request may follow: the connection is new,
	// or has received bytes since the last answer.
	expectsRequest      bool
	expectsRequestSince time.Time
	// serving reports whether a request's header was read and its answer is not
	// complete.
	serving bool
	closed  bool
}

// Read implements net.Conn. Bytes that arrive after the connection was closed as
// idle are discarded, so that no request is started that cannot be answered.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.expectsRequest = true
		c.expectsRequestSince = time.Now()
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	c.conns.mu.Lock()
	c.expectsRequest = false
	c.conns.mu.Unlock()
	return c.Conn.Write(p)
}

// NetConn returns the connection inside this one.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

var _ opaque.CallerConn = (*callerConn)(nil)

// HasEnded implements opaque.CallerConn.
func (c *callerConn) HasEnded() bool {
	c.conns.mu.Lock()
	closed := c.closed
	c.conns.mu.Unlock()
	inner := clientconns.Unwrap(c)
	return closed || inner != nil && inner.IsClosed() || tcp.HasEnded(c.Conn)
}

// CloseWrite closes the sending side of the connection. http.Server calls it when
// the caller may still be sending.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
