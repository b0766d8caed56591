package node

import (
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// traffic counts connections between hosts and the bytes on them, above TCP.
type traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
	dials    atomic.Uint64
	accepts  atomic.Uint64
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// countingListener is a listener whose connections are counted.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.traffic.accepts.Add(1)
	return &countingConn{
		Conn:    conn,
		traffic: l.traffic,
	}, nil
}
