// Package upstream is an HTTP/1.1 client for endpoints. A connection carries one
// request at a time. Errors distinguish requests that were not sent from those
// that were sent and got no response.
//
// # Usage
//
//	pool := upstream.New(upstream.Dependencies{})
//	conn, err := pool.Get(ctx, endpoint, maxIdle, requestID)
//	if err != nil {
//		// nothing was sent
//	}
//	err = conn.SendRequest(request, deadline)
//	response, err := conn.ReadResponse(method, relate)
//	... read response.Body to its end ...
//	conn.Release(response)
//
// A response is matched to its request by the connection and the request's ID. Several attempts
// of a call bear the same ID, so a connection carries each ID once: the late response to an
// earlier attempt arrives on another connection than the one on which the next attempt waits.
//
// If the pool is given tunnels, an endpoint that cannot be reached directly is reached through
// another host; see package detour for when.
//
// What an endpoint may send is bounded: an *ExcessError names the part of the response that
// goes beyond its bound. The body's size is bounded by the caller.
//
// The package never retries a request: whether a request may run twice is decided
// by the caller.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/detour"
	"cactuswell/io/tcp"
)

const (
	// dialTimeout bounds the time to open a connection. It allows for several round
	// trips within a region, but not for the retransmission of a dropped SYN.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may remain unacknowledged before the
	// connection is considered broken.
	ackTimeout = 1200 * time.Millisecond
	// keepAlivePeriod is the shortest period that operating systems support.
	keepAlivePeriod = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the endpoint's announced timeout an idle
	// connection is no longer used.
	idleMargin = time.Second
	// maxIdleSeconds bounds the endpoint's announced timeout.
	maxIdleSeconds = 3600
	// stoppedHostMemory is how long a host that shuts down is remembered. It is longer than
	// its shutdown takes.
	stoppedHostMemory = 10 * time.Second
	// maxIdlePerEndpoint is the maximum number of idle connections to an endpoint.
	maxIdlePerEndpoint = 16
	// maxPassedOver is the number of idle connections that have carried a request's ID beyond which
	// a new connection replaces one of them, as endpoints limit their connections.
	maxPassedOver = 1
	// maxRequestsPerConn is the maximum number of requests that a connection carries. It bounds
	// the memory of their IDs.
	maxRequestsPerConn = 1000
)

// SendError reports a request that was not sent, or not completely.
type SendError struct {
	// Partial is set if some bytes may have been sent.
	Partial bool
	Err     error
}

// Error returns a message with the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("writing the request failed (partly written: %v): %v", e.Partial, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// UnsolicitedResponseError reports that a connection received only responses to
// other requests.
type UnsolicitedResponseError struct {
	Address string
}

// Error returns a message with the address of the endpoint.
func (e *UnsolicitedResponseError) Error() string {
	return fmt.Sprintf("%s sent a response that does not belong to the request", e.Address)
}

// Dependencies holds what a Pool needs.
type Dependencies struct {
	// Dial opens a direct connection to an address. If it is nil, it is a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Tunnels connects through other hosts. It is nil if there are none.
	Tunnels Tunnels
	// ReportPath is called after each change of the path to a service, if it is set.
	ReportPath func(detour.Change)
}

// Pool holds idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dialer *dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
	// stoppedHosts are the hosts that shut down, with the time at which they said so.
	stoppedHosts map[string]time.Time
	// unsolicitedBy counts the idle connections that received bytes since TakeUnsolicited, by
	// the endpoint's address.
	unsolicitedBy map[string]int
	dials         atomic.Int64
	open          atomic.Int64
	reused        atomic.Int64
	// unsolicited counts the idle connections that received bytes.
	unsolicited atomic.Int64
	// passedOver counts the idle connections that were not used for a request as they had
	// carried one with its ID.
	passedOver atomic.Int64
}

// New returns an empty pool.
func New(dependencies Dependencies) *Pool {
	dial := dependencies.Dial
	if dial == nil {
		dial = newTCPDial()
	}
	return &Pool{
		dialer: &dialer{
			dial:    dial,
			tunnels: dependencies.Tunnels,
			report:  dependencies.ReportPath,
			planner: detour.New(),
		},
		idle:          make(map[string][]*Conn),
		stoppedHosts:  make(map[string]time.Time),
		unsolicitedBy: make(map[string]int),
	}
}

// Get returns a connection for the request with the given ID: one that has been idle for at
// most maxIdle and has carried no request with that ID, or a new one. If it returns an error,
// nothing was sent.
func (p *Pool) Get(ctx context.Context, to detour.Endpoint, maxIdle time.Duration, requestID string) (*Conn, error) {
	hash := hashID(requestID)
	c, passedOver := p.takeIdle(to, maxIdle, hash)
	p.passedOver.Add(int64(passedOver))
	if c != nil {
		p.reused.Add(1)
	} else {
		var err error
		if c, err = p.dial(ctx, to); err != nil {
			return nil, err
		}
	}
	c.requestIDs = append(c.requestIDs, hash)
	c.passedOver = passedOver
	return c, nil
}

// Check opens a connection to the endpoint, which is kept for a later request. The error is a
// *SendError.
func (p *Pool) Check(ctx context.Context, to detour.Endpoint) error {
	c, err := p.dial(ctx, to)
	if err != nil {
		return err
	}
	p.putIdle(c, defaultIdleTimeout)
	return nil
}

// DialDirectly opens a direct connection for a tunnel of another host.
func (p *Pool) DialDirectly(ctx context.Context, to detour.Endpoint) (net.Conn, error) {
	return p.dialer.connectDirectly(ctx, to)
}

// IsPathLost reports whether the direct path to a service is lost.
func (p *Pool) IsPathLost(service string) bool { return p.dialer.isLost(service) }

// IsPathProven reports whether an endpoint that cannot be reached directly is down, as other
// endpoints of its service were reached lately.
func (p *Pool) IsPathProven(to detour.Endpoint) bool { return p.dialer.isProven(to) }

// StopUsingHost closes the idle connections that lead through a host, and those that are in use
// once they are idle: the host shuts down and waits for their end.
func (p *Pool) StopUsingHost(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stoppedHosts[host] = time.Now()
	for address, conns := range p.idle {
		p.idle[address] = slices.DeleteFunc(conns, func(c *Conn) bool {
			if c.host != host {
				return false
			}
			p.discardIdle(c)
			return true
		})
	}
}

// isStopped reports whether the connection leads through a host that shuts down. The caller
// must hold p.mu.
func (p *Pool) isStopped(c *Conn) bool {
	_, ok := p.stoppedHosts[c.host]
	return ok && !c.isDirect()
}

// LostPathCount returns the number of services to which the direct path is lost.
func (p *Pool) LostPathCount() int { return p.dialer.lostServices() }

// ThroughCount returns the number of connections that were opened through other hosts.
func (p *Pool) ThroughCount() int64 { return p.dialer.throughCount.Load() }

// dial opens a connection. The error is a *SendError.
func (p *Pool) dial(ctx context.Context, to detour.Endpoint) (*Conn, error) {
	conn, err := p.dialer.connect(ctx, to)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	p.dials.Add(1)
	p.open.Add(1)
	input := &deadlineReader{conn: conn.Conn}
	head := &headLimiter{reader: input}
	return &Conn{
		pool:    p,
		address: to.Address,
		host:    conn.host,
		conn:    conn.Conn,
		input:   input,
		head:    head,
		reader:  bufio.NewReaderSize(head, readBufferSize),
	}, nil
}

// takeIdle returns the most recently used idle connection that has carried no request with the
// given hash of its ID, and the number of those that have. It returns nil if there is none or if
// it has been idle for longer than maxIdle. It closes connections that have expired or broken, and
// those over a path that is not used any more.
func (p *Pool) takeIdle(to detour.Endpoint, maxIdle time.Duration, id uint32) (c *Conn, passedOver int) {
	now := time.Now()
	usesDirect := p.dialer.choosePath(to)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[to.Address]
	defer func() { p.idle[to.Address] = conns }()
	i := len(conns) - 1
	for ; i >= 0; i-- {
		c := conns[i]
		if c.isDirect() != usesDirect || !c.isOpen(now) {
			conns = slices.Delete(conns, i, i+1)
			p.discardIdle(c)
			continue
		}
		if now.Sub(c.idleSince) > maxIdle {
			// The remaining ones have been idle for even longer.
			break
		}
		if !slices.Contains(c.requestIDs, id) {
			conns = slices.Delete(conns, i, i+1)
			return c, passedOver
		}
		passedOver++
	}
	if passedOver > maxPassedOver {
		p.discardIdle(conns[i+1])
		conns = slices.Delete(conns, i+1, i+2)
	}
	return nil, passedOver
}

// hashID returns the hash of a request's ID. Two IDs with the same hash cost a connection and
// nothing else.
func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

func (p *Pool) putIdle(c *Conn, idleFor time.Duration) {
	now := time.Now()
	c.idleSince = now
	c.idleUntil = now.Add(idleFor)
	c.SetReadDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStopped(c) {
		c.Discard()
		return
	}
	conns := p.idle[c.address]
	if len(conns) >= maxIdlePerEndpoint {
		conns[0].Discard()
		conns = conns[1:]
	}
	p.idle[c.address] = append(conns, c)
}

// discardIdle closes an idle connection. The caller must hold p.mu.
func (p *Pool) discardIdle(c *Conn) {
	if tcp.HasUnreadBytes(c.conn) {
		p.unsolicited.Add(1)
		p.unsolicitedBy[c.address]++
	}
	c.Discard()
}

func (p *Pool) countClosed() {
	p.open.Add(-1)
}

// Sweep closes the idle connections that have expired or received bytes, and those to
// addresses that are not in keep.
func (p *Pool) Sweep(now time.Time, keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if keep[address] && now.Before(c.idleUntil) && tcp.IsIdle(c.conn) {
				kept = append(kept, c)
				continue
			}
			p.discardIdle(c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	for host, stoppedAt := range p.stoppedHosts {
		if now.Sub(stoppedAt) > stoppedHostMemory {
			delete(p.stoppedHosts, host)
		}
	}
	p.dialer.forget(keep)
}

// DialCount returns the number of connections that were opened.
func (p *Pool) DialCount() int64 { return p.dials.Load() }

// ReuseCount returns the number of requests that reused an idle connection.
func (p *Pool) ReuseCount() int64 { return p.reused.Load() }

// UnsolicitedCount returns the number of idle connections that were closed because
// bytes arrived that nobody had requested.
func (p *Pool) UnsolicitedCount() int64 { return p.unsolicited.Load() }

// PassedOverCount returns the number of idle connections that were not used for a request as they
// had carried one with its ID.
func (p *Pool) PassedOverCount() int64 { return p.passedOver.Load() }

// TakeUnsolicited returns the number of idle connections that were closed because bytes arrived
// that nobody had requested, by the endpoint's address, since the last time.
func (p *Pool) TakeUnsolicited() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.unsolicitedBy
	p.unsolicitedBy = make(map[string]int)
	return taken
}

// OpenCount returns the number of open connections.
func (p *Pool) OpenCount() int64 { return p.open.Load() }

// idleTimeout returns how long a connection may be kept idle after a response: the
// timeout that the endpoint announces, less a margin, or defaultIdleTimeout if it
// announces none.
func idleTimeout(response *http.Response) time.Duration {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		// Beyond the range of an integer, Atoi returns the nearest one.
		seconds, err := strconv.Atoi(value)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			continue
		}
		return time.Duration(min(max(seconds, 0), maxIdleSeconds))*time.Second - idleMargin
	}
	return defaultIdleTimeout
}
