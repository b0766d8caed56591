package configuration

import (
	"context"
	"expvar"
	"time"
)

const (
	// maxConns limits the open connections of one duty.
	maxConns = 32
	// reuseTimeout limits a call over a reused connection, and peerTimeout one
	// over a new connection.
	reuseTimeout = 500 * time.Millisecond
	peerTimeout  = time.Second
)

// connections is the connection pool of one duty. It is not safe for concurrent
// use.
type connections struct {
	dial      func(Peer) Conn
	counters  *expvar.Map
	open      map[Peer]Conn
	dialOrder []Peer
}

func newConnections(dial func(Peer) Conn, counters *expvar.Map) *connections {
	return &connections{
		dial:     dial,
		counters: counters,
		open:     make(map[Peer]Conn),
	}
}

// call makes one idempotent call to a peer. A call that fails over a reused
// connection is retried over a new one, and all open connections are closed,
// because the cause of the failure may have broken all of them.
func (c *connections) call(ctx context.Context, peer Peer, do func(context.Context, Conn) error) error {
	if reused, ok := c.open[peer]; ok {
		if attempt(ctx, reuseTimeout, reused, do) == nil {
			return nil
		}
		c.counters.Add("peerRedials", 1)
		c.closeAll()
	}
	conn := c.dial(peer)
	if err := attempt(ctx, peerTimeout, conn, do); err != nil {
		conn.Close()
		return err
	}
	c.add(peer, conn)
	return nil
}

func attempt(ctx context.Context, timeout time.Duration, conn Conn, do func(context.Context, Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx, conn)
}

func (c *connections) add(peer Peer, conn Conn) {
	if len(c.dialOrder) >= maxConns {
		oldest := c.dialOrder[0]
		c.open[oldest].Close()
		delete(c.open, oldest)
		c.dialOrder = c.dialOrder[1:]
	}
	c.open[peer] = conn
	c.dialOrder = append(c.dialOrder, peer)
}

func (c *connections) closeAll() {
	for _, conn := range c.open {
		conn.Close()
	}
	clear(c.open)
	c.dialOrder = nil
}
