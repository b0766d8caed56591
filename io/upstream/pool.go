// Package upstream speaks HTTP/1.1 to endpoints, one request at a time on a
// connection, and tells apart what is known of a request that got no answer.
//
// # Usage
//
//	pool := upstream.New(upstream.Settings{})
//	conn, err := pool.Get(ctx, address, maxIdle)
//	if err != nil {
//		// nothing was sent
//	}
//	err = conn.Write(request, deadline)
//	response, err := conn.Read(method, own)
//	... read response.Body to its end ...
//	conn.Finish(response)
//
// Nothing is ever sent again by this package: whether a request may run twice is
// decided elsewhere.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/io/tcp"
)

const (
	// dialTimeout bounds the making of a connection: some round trips within a
	// region, and short of a lost first packet's repetition.
	dialTimeout = 250 * time.Millisecond
	// peerTimeout is when an endpoint that acknowledges nothing counts as lost.
	peerTimeout = 1200 * time.Millisecond
	// keepAlivePeriod is the least that systems offer.
	keepAlivePeriod = time.Second
	// defaultIdle is how long a connection is kept if the endpoint does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner than the endpoint a connection is given up.
	idleMargin = time.Second
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 16
)

// SendError is a request that was not written, or not whole.
type SendError struct {
	// Partial says that some bytes may have left.
	Partial bool
	Err     error
}

// Error describes the failure.
func (e *SendError) Error() string {
	return fmt.Sprintf("writing the request failed (partly written: %v): %v", e.Partial, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// UnsolicitedResponseError says that a connection gave answers to other requests only.
type UnsolicitedResponseError struct {
	Address string
}

// Error names the endpoint.
func (e *UnsolicitedResponseError) Error() string {
	return fmt.Sprintf("%s answered other requests than the one that was sent", e.Address)
}

// Pool keeps the idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer *tcp.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
	dials  atomic.Int64
	open   atomic.Int64
	reused atomic.Int64
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		dialer: tcp.NewDialer(tcp.Settings{
			DialTimeout: dialTimeout,
			AckTimeout:  peerTimeout,
			KeepAlive:   keepAlivePeriod,
		}),
		idle: make(map[string][]*Conn),
	}
}

// Get returns a connection that has been idle for at most maxIdle, or a new one.
// An error says that nothing was sent.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	if c := p.take(address, maxIdle); c != nil {
		p.reused.Add(1)
		return c, nil
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	p.dials.Add(1)
	p.open.Add(1)
	return &Conn{
		pool:    p,
		address: address,
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBuffer),
	}, nil
}

// take returns the connection that was used last, if it is fit. Those that are
// not are closed.
func (p *Pool) take(address string, maxIdle time.Duration) *Conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		if c.fit(now, maxIdle) {
			p.idle[address] = conns[:len(conns)-1]
			return c
		}
		if now.Before(c.idleTill) && tcp.IsIdle(c.conn) {
			// It is only too old for this request.
			break
		}
		conns = conns[:len(conns)-1]
		c.Discard()
	}
	p.idle[address] = conns
	return nil
}

func (p *Pool) put(c *Conn, idleFor time.Duration) {
	now := time.Now()
	c.idleFrom = now
	c.idleTill = now.Add(idleFor)
	_ = c.conn.SetReadDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if len(conns) >= maxIdle {
		conns[0].Discard()
		conns = conns[1:]
	}
	p.idle[c.address] = append(conns, c)
}

func (p *Pool) closed() {
	p.open.Add(-1)
}

// Sweep closes the connections whose time is over, and those to addresses that
// keep does not name.
func (p *Pool) Sweep(now time.Time, keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if keep[address] && now.Before(c.idleTill) {
				kept = append(kept, c)
				continue
			}
			c.Discard()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// DialCount returns the number of connections made.
func (p *Pool) DialCount() int64 { return p.dials.Load() }

// ReuseCount returns the number of requests that took an idle connection.
func (p *Pool) ReuseCount() int64 { return p.reused.Load() }

// OpenCount returns the number of open connections.
func (p *Pool) OpenCount() int64 { return p.open.Load() }

// keepAlive returns how long the endpoint keeps an idle connection, less a
// margin.
func keepAlive(response *http.Response) time.Duration {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdle
}
