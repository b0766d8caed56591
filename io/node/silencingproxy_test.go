package node

import (
	"io"
	"net"
	"sync"
	"testing"
)

// silencingProxy is a proxy between two hosts that can drop all data of the
// open connections, as a middlebox that lost its state does, while new
// connections work.
type silencingProxy struct {
	listener   net.Listener
	target     string
	mu         sync.Mutex
	conns      []*silencedConn
	goroutines sync.WaitGroup
}

// silencedConn is a connection that discards what is written to it once it is
// silent.
type silencedConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

// Write implements io.Writer.
func (c *silencedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func newSilencingProxy(t *testing.T, target string) *silencingProxy {
	t.Helper()
	s := &silencingProxy{
		listener: listenLoopback(t),
		target:   target,
	}
	s.goroutines.Go(s.run)
	t.Cleanup(s.stop)
	return s
}

func (s *silencingProxy) address() string {
	return s.listener.Addr().String()
}

// connectionCount returns the number of connections made so far.
func (s *silencingProxy) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// silence makes the connections that are open now drop all data.
func (s *silencingProxy) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.mu.Lock()
		conn.silent = true
		conn.mu.Unlock()
	}
}

func (s *silencingProxy) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *silencingProxy) run() {
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		s.copyBothWays(s.track(client), s.track(upstream))
	}
}

func (s *silencingProxy) track(conn net.Conn) *silencedConn {
	tracked := &silencedConn{
		Conn: conn,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, tracked)
	return tracked
}

func (s *silencingProxy) copyBothWays(a, b *silencedConn) {
	s.goroutines.Go(func() { copyConn(a, b) })
	s.goroutines.Go(func() { copyConn(b, a) })
}

func copyConn(to, from *silencedConn) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	_ = to.Close()
	_ = from.Close()
}
