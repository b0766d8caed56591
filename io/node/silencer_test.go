package node

import (
	"io"
	"net"
	"sync"
	"testing"
)

// silencer stands between two hosts and can lose track of the connections that
// are open, as a middlebox does, while new ones work.
type silencer struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*silencedConn
	all      sync.WaitGroup
}

// silencedConn is a connection that swallows what is written to it once it is
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

func newSilencer(t *testing.T, target string) *silencer {
	t.Helper()
	s := &silencer{
		listener: listenLoopback(t),
		target:   target,
	}
	s.all.Go(s.run)
	t.Cleanup(s.stop)
	return s
}

func (s *silencer) address() string {
	return s.listener.Addr().String()
}

// open returns how many connections were made so far.
func (s *silencer) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// silence makes the connections that are open now lose everything.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.mu.Lock()
		conn.silent = true
		conn.mu.Unlock()
	}
}

func (s *silencer) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

func (s *silencer) run() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		s.join(s.track(near), s.track(far))
	}
}

func (s *silencer) track(conn net.Conn) *silencedConn {
	tracked := &silencedConn{
		Conn: conn,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, tracked)
	return tracked
}

func (s *silencer) join(a, b *silencedConn) {
	s.all.Go(func() { copyConn(a, b) })
	s.all.Go(func() { copyConn(b, a) })
}

func copyConn(to, from *silencedConn) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	_ = to.Close()
	_ = from.Close()
}
