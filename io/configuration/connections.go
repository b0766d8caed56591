package configuration

import (
	"context"
	"expvar"
	"time"
)

const (
	// maxConns bounds the connections that one duty keeps.
	maxConns = 32
	// reuseTimeout is how long a peer may take for an answer over a connection
	// that was used before, and peerTimeout over a new one.
	reuseTimeout = 500 * time.Millisecond
	peerTimeout  = time.Second
)

// connections keeps the connections of one duty. It is not safe for concurrent
// use.
type connections struct {
	dial   func(Peer) Conn
	counts *expvar.Map
	known  map[Peer]Conn
	order  []Peer
}

func newConnections(dial func(Peer) Conn, counts *expvar.Map) *connections {
	return &connections{
		dial:   dial,
		counts: counts,
		known:  make(map[Peer]Conn),
	}
}

// call makes one idempotent call to a peer. A call that fails over a connection
// that was used before is repeated over a new one, and the other connections
// are left behind too, as what broke one may have broken them all.
func (c *connections) call(ctx context.Context, peer Peer, do func(context.Context, Conn) error) error {
	if known, ok := c.known[peer]; ok {
		if attempt(ctx, reuseTimeout, known, do) == nil {
			return nil
		}
		c.counts.Add("peerRedials", 1)
		c.closeAll()
	}
	fresh := c.dial(peer)
	if err := attempt(ctx, peerTimeout, fresh, do); err != nil {
		fresh.Close()
		return err
	}
	c.keep(peer, fresh)
	return nil
}

func attempt(ctx context.Context, timeout time.Duration, conn Conn, do func(context.Context, Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx, conn)
}

func (c *connections) keep(peer Peer, fresh Conn) {
	if len(c.order) >= maxConns {
		oldest := c.order[0]
		c.known[oldest].Close()
		delete(c.known, oldest)
		c.order = c.order[1:]
	}
	c.known[peer] = fresh
	c.order = append(c.order, peer)
}

func (c *connections) closeAll() {
	for _, known := range c.known {
		known.Close()
	}
	clear(c.known)
	c.order = nil
}
