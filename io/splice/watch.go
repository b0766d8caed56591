package splice

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxFollowing bounds the bytes after a body that are kept, and maxReadAhead those that are read for
	// that before the body's reader wants them.
	maxFollowing = 4 << 10
	maxReadAhead = 512
)

// Watch returns a function that dials connections which report what follows the body of a response: see
// WatchedConn.
func Watch(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &WatchedConn{Conn: conn}, nil
	}
}

// WatchedConn is a connection that carries one request at a time. An http.Transport reads more than a body
// with a length, and closes the connection without a word if that is no response.
type WatchedConn struct {
	net.Conn

	mu      sync.Mutex
	scanner headerScanner
	// bodyBytes counts the bytes that have arrived after the header of the response, of which last
	// holds the last ones.
	bodyBytes int64
	last      []byte
	// ahead holds those that have not been read.
	ahead []byte
}

// Begin begins the next request. It is called when the connection was chosen for it, as by GotConn of an
// httptrace.ClientTrace.
func (c *WatchedConn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = headerScanner{}
	c.bodyBytes = 0
	c.last = nil
}

// Read implements net.Conn.
func (c *WatchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(p[:n])
	return n, err
}

// observe counts the bytes after the header. The lock must be held.
func (c *WatchedConn) observe(data []byte) {
	for len(data) > 0 && !c.scanner.isDone {
		// Torn headers are for CheckFirst and Check to find.
		_ = c.scanner.scan(data[:1])
		data = data[1:]
	}
	c.bodyBytes += int64(len(data))
	c.last = append(c.last, data[max(0, len(data)-maxFollowing):]...)
	c.last = c.last[max(0, len(c.last)-maxFollowing):]
}

// Following returns the bytes that have arrived after a body of the given length, or arrive within the given
// time. It must be called while the response's reader has not got the last byte of the body, for which it
// waits, as the connection is then read by nobody else.
func (c *WatchedConn) Following(length int64, wait time.Duration) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.scanner.isDone || !c.readAhead(length) {
		return nil
	}
	if c.bodyBytes == length && wait > 0 && c.SetReadDeadline(time.Now().Add(wait)) == nil {
		c.readAhead(length + 1)
		_ = c.SetReadDeadline(time.Time{})
	}
	return c.last[max(0, len(c.last)-int(min(c.bodyBytes-length, maxFollowing))):]
}

// readAhead reads until so many bytes have arrived after the header, and reports whether they have. The lock
// must be held.
func (c *WatchedConn) readAhead(until int64) bool {
	buffer := make([]byte, maxReadAhead)
	for c.bodyBytes < until {
		n, err := c.Conn.Read(buffer)
		c.observe(buffer[:n])
		c.ahead = append(c.ahead, buffer[:n]...)
		if err != nil {
			return c.bodyBytes >= until
		}
	}
	return true
}
