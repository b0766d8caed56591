package gateway_test

import (
	"bytes"
	"net"
	"sync"
)

// pausedListener simulates a host that has used up its processor time: after bytes
// with a mark have arrived, the read does not return until resume is closed. reached
// is closed when the read is paused.
type pausedListener struct {
	net.Listener
	mark    []byte
	once    sync.Once
	reached chan struct{}
	resume  chan struct{}
}

func newPausedListener(inner net.Listener, mark string) *pausedListener {
	return &pausedListener{
		Listener: inner,
		mark:     []byte(mark),
		reached:  make(chan struct{}),
		resume:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *pausedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{
		Conn:     conn,
		listener: l,
	}, nil
}

type pausedConn struct {
	net.Conn
	listener *pausedListener
}

// Read implements net.Conn.
func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.Contains(p[:n], c.listener.mark) {
		c.listener.once.Do(func() {
			close(c.listener.reached)
			<-c.listener.resume
		})
	}
	return n, err
}
