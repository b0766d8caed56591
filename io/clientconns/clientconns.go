// Package clientconns bounds the connections that clients open to a listener and what
// they hold: their number, the headers that arrive over them and responses that are not
// read. If one of these is short, connections that make no progress are closed for others.
//
// # Usage
//
//	conns := clientconns.New(clientconns.Settings{
//		MaxConns: 1200,
//		Timers:   timers,
//	})
//	server := &http.Server{
//		Handler:     handler,
//		ConnState:   conns.TrackState,
//		ConnContext: clientconns.WithConn,
//	}
//	go conns.Run(ctx)
//	err := server.Serve(conns.Listen(listener))
//
// A handler that reads a body calls Conn.BeginBody and Conn.EndBody around it. What is
// closed is decided in core/clientbudget. A read or write costs a few atomic operations
// and no lock.
package clientconns

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactuswell/core/clientbudget"
	"cactuswell/io/tcp"
	"cactuswell/timer"
)

const (
	// sweepInterval is the time between two checks of timeouts and of blocked writes.
	sweepInterval = 250 * time.Millisecond
	// ipv6SiteBits is the length of the prefix that counts as one IPv6 address.
	ipv6SiteBits = 64
	// roomTries bounds the attempts to make room for a connection, and roomPause is the time
	// before the second one, which doubles: bytes are read meanwhile that many new connections have
	// sent at once. In all it is longer than connections count as new.
	roomTries = 7
	roomPause = 5 * time.Millisecond
	// acceptTries bounds the attempts to accept a connection without descriptors.
	acceptTries = 4
)

// Descriptors returns the number of file descriptors that this process may use, or zero if
// that is not known or not limited.
func Descriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// Settings holds the limits of a listener. Zero limits mean none.
type Settings struct {
	// MaxConns bounds the open connections.
	MaxConns int
	// HeaderBytes bounds what the headers of all requests cost together. See
	// clientbudget.HeaderCost.
	HeaderBytes int64
	// MaxHeaderLines bounds the lines of a request's header.
	MaxHeaderLines int
	// Encrypted is set if the bytes are those of TLS, which have no header lines.
	Encrypted bool
	// Timeouts returns the timeouts in force. It may be nil.
	Timeouts func() clientbudget.Timeouts
	// ReportExcess is called for a header with too many lines. It may be nil.
	ReportExcess func(remote net.Addr, err error)
	// ReportClosed is called at most once a sweep for each cause, with the number of
	// connections that were closed since. It may be nil.
	ReportClosed func(cause clientbudget.Cause, connections int64)
	Timers       *timer.Service
}

// Conns tracks the open connections of a listener. It is safe for concurrent use.
type Conns struct {
	settings  Settings
	startedAt time.Time
	headers   atomic.Int64
	// acceptWait is the time that Accept has waited for room, in nanoseconds.
	acceptWait atomic.Int64

	mu   sync.Mutex
	open map[*Conn]struct{}
	// addresses counts the open connections by address.
	addresses map[netip.Addr]int
	closed    map[clientbudget.Cause]int64
}

// New returns a Conns without connections.
func New(settings Settings) *Conns {
	return &Conns{
		settings:  settings,
		startedAt: time.Now(),
		open:      make(map[*Conn]struct{}),
		addresses: make(map[netip.Addr]int),
		closed:    make(map[clientbudget.Cause]int64),
	}
}

// now returns the time since the start, in nanoseconds on the monotonic clock.
func (c *Conns) now() int64 { return int64(time.Since(c.startedAt)) }

// OpenCount returns the number of open connections.
func (c *Conns) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// AcceptWait returns the time for which connections have not been accepted as there was no room.
func (c *Conns) AcceptWait() time.Duration { return time.Duration(c.acceptWait.Load()) }

// HeaderBytes returns what the headers of all requests cost at the moment.
func (c *Conns) HeaderBytes() int64 { return c.headers.Load() }

// Listen returns a listener whose connections are bounded.
func (c *Conns) Listen(inner net.Listener) net.Listener {
	return &listener{
		Listener: inner,
		conns:    c,
	}
}

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener. If there is no room for a connection it is closed, and the
// next one is accepted.
func (l *listener) Accept() (net.Conn, error) {
	for tries := 1; ; tries++ {
		conn, err := l.Listener.Accept()
		if err != nil {
			lacksDescriptors := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
			if lacksDescriptors && tries < acceptTries {
				if hasRoom, _ := l.conns.makeRoom(true); hasRoom {
					continue
				}
			}
			return nil, err
		}
		if tracked := l.conns.add(conn); tracked != nil {
			return tracked, nil
		}
		_ = conn.Close()
		tries = 0
	}
}

// add tracks a new connection. It returns nil if there is no room for it.
func (c *Conns) add(conn net.Conn) *Conn {
	c.mu.Lock()
	isFull := c.settings.MaxConns > 0 && len(c.open) >= c.settings.MaxConns
	c.mu.Unlock()
	pause := roomPause
	for tries := 1; isFull; tries++ {
		hasRoom, isBusy := c.makeRoom(tries == roomTries)
		if hasRoom {
			break
		}
		if isBusy && tries < roomTries {
			<-time.After(pause)
			c.acceptWait.Add(int64(pause))
			pause *= 2
			continue
		}
		c.count(clientbudget.CauseConnections)
		return nil
	}
	tracked := &Conn{
		Conn:    conn,
		conns:   c,
		address: addressOf(conn),
	}
	tracked.since.Store(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[tracked] = struct{}{}
	c.addresses[tracked.address]++
	return tracked
}

// addressOf returns the client's address, or the zero address if it is not known.
func addressOf(conn net.Conn) netip.Addr {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	address := remote.AddrPort().Addr().Unmap()
	if address.Is6() {
		if prefix, err := address.Prefix(ipv6SiteBits); err == nil {
			return prefix.Addr()
		}
	}
	return address
}

// makeRoom evicts connections in the order of core/clientbudget. HasRoom reports whether
// there were any. Unless it is the last attempt, new connections stay, and idle ones beside new ones
// (unless most are idle) or while some have unread bytes. IsBusy reports whether there are new ones or
// such bytes, so that another attempt may find more.
func (c *Conns) makeRoom(isLast bool) (hasRoom, isBusy bool) {
	c.mu.Lock()
	conns := make([]*Conn, 0, len(c.open))
	described := make([]clientbudget.Conn, 0, len(c.open))
	now := c.now()
	for conn := range c.open {
		conns = append(conns, conn)
		described = append(described, conn.describe(now, c.addresses[conn.address]))
	}
	addresses := len(c.addresses)
	c.mu.Unlock()
	closed := 0
	hasNew, hasUnread := false, false
	count := clientbudget.BatchSize(c.settings.MaxConns)
	areMostlyIdle := clientbudget.AreMostlyIdle(described)
	for _, i := range clientbudget.SelectConns(described, addresses, len(described)) {
		sparesIdle := !isLast && (hasUnread || hasNew && !areMostlyIdle)
		if closed == count || sparesIdle && described[i].Phase > clientbudget.Header {
			break
		}
		switch {
		case !isLast && described[i].IsNew():
			hasNew = true
		case c.evict(conns[i], described[i].Phase):
			closed++
		default:
			hasUnread = true
		}
	}
	return closed > 0, hasNew || hasUnread
}

// evict closes a connection to make room. It reports false if the connection has bytes that
// this process has not yet had the time to read.
func (c *Conns) evict(conn *Conn, phase clientbudget.Phase) bool {
	if (phase == clientbudget.Silent || phase == clientbudget.Idle) && tcp.HasUnreadBytes(conn.Conn) {
		return false
	}
	if phase == clientbudget.Body {
		// The handler refuses the request. The connection counts as closed from now on.
		if !conn.FailBody() {
			return false
		}
		c.remove(conn)
	} else if !conn.closeFrom(phase) {
		return false
	}
	c.count(clientbudget.CauseConnections)
	return true
}

func (c *Conns) count(cause clientbudget.Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[cause]++
}

// remove forgets a connection.
func (c *Conns) remove(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.open[conn]; !ok {
		return
	}
	delete(c.open, conn)
	if c.addresses[conn.address]--; c.addresses[conn.address] == 0 {
		delete(c.addresses, conn.address)
	}
}

// Unwrap returns the tracked connection inside a connection, or nil.
func Unwrap(conn net.Conn) *Conn {
	for {
		switch inner := conn.(type) {
		case *Conn:
			return inner
		case interface{ NetConn() net.Conn }:
			conn = inner.NetConn()
		default:
			return nil
		}
	}
}

// TrackState is the ConnState hook of http.Server.
func (c *Conns) TrackState(conn net.Conn, state http.ConnState) {
	tracked := Unwrap(conn)
	if tracked == nil {
		return
	}
	switch state {
	case http.StateActive:
		tracked.setPhase(clientbudget.Serving)
	case http.StateIdle:
		tracked.releaseHeader()
		tracked.setPhase(clientbudget.Idle)
	case http.StateClosed, http.StateHijacked:
		tracked.releaseHeader()
		c.remove(tracked)
	case http.StateNew:
	}
}

type connKey struct{}

// WithConn returns the context for requests that arrive over a connection. It is a
// ConnContext hook of http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if tracked := Unwrap(conn); tracked != nil {
		return context.WithValue(ctx, connKey{}, tracked)
	}
	return ctx
}

// FromContext returns the connection over which a request arrived, or nil.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Run closes connections whose time has expired, until the context is done.
func (c *Conns) Run(ctx context.Context) error {
	tick := c.settings.Timers.Every(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
			c.sweep()
		}
	}
}

// sweep closes connections whose time has expired and reports what was closed since the last
// sweep.
func (c *Conns) sweep() {
	timeouts := clientbudget.Timeouts{}
	if c.settings.Timeouts != nil {
		timeouts = c.settings.Timeouts()
	}
	type expiry struct {
		phase clientbudget.Phase
		cause clientbudget.Cause
	}
	expired := make(map[*Conn]expiry)
	c.mu.Lock()
	now := c.now()
	for conn := range c.open {
		conn.sampleWrite(now)
		described := conn.describe(now, 0)
		inPhase := time.Duration(now - conn.since.Load())
		if cause := timeouts.Expired(described.Phase, inPhase, described.Lag); cause != "" {
			expired[conn] = expiry{
				phase: described.Phase,
				cause: cause,
			}
		}
	}
	c.mu.Unlock()
	for conn, expiry := range expired {
		if expiry.cause != clientbudget.CauseUnreadResponse && tcp.HasUnreadBytes(conn.Conn) {
			// This process was stopped or is slow.
			continue
		}
		if conn.closeFrom(expiry.phase) {
			c.count(expiry.cause)
		}
	}
	c.report()
}

// report reports the connections that were closed since the last report.
func (c *Conns) report() {
	c.mu.Lock()
	closed := c.closed
	c.closed = make(map[clientbudget.Cause]int64)
	c.mu.Unlock()
	if c.settings.ReportClosed == nil {
		return
	}
	for cause, connections := range closed {
		c.settings.ReportClosed(cause, connections)
	}
}

// takeHeader takes memory for a header, or none if it reports false.
func (c *Conns) takeHeader(n int64) bool {
	limit := c.settings.HeaderBytes
	if c.headers.Add(n) > limit && limit > 0 {
		c.headers.Add(-n)
		return false
	}
	return true
}

// makeHeaderRoom closes connections whose headers hold memory and arrive slowly, until n
// bytes are free. It reports false if they do not suffice.
func (c *Conns) makeHeaderRoom(n int64) bool {
	var conns []*Conn
	var arrivals []clientbudget.Arrival
	c.mu.Lock()
	for conn := range c.open {
		if cost := conn.headerCost.Load(); cost > 0 && conn.currentPhase() == clientbudget.Header {
			arrival := conn.Arrival()
			arrival.Taken = cost
			arrival.Silent = 0
			conns = append(conns, conn)
			arrivals = append(arrivals, arrival)
		}
	}
	c.mu.Unlock()
	selected := clientbudget.SelectArrivals(arrivals, n)
	for _, i := range selected {
		if conns[i].closeFrom(clientbudget.Header) {
			conns[i].releaseHeader()
			c.count(clientbudget.CauseHeaderMemory)
		}
	}
	return len(selected) > 0
}

// CloseStalledWriters closes the connections whose responses are not read, as the memory
// for responses is short. It reports false if there are none.
func (c *Conns) CloseStalledWriters() bool {
	var stalled []*Conn
	c.mu.Lock()
	now := c.now()
	for conn := range c.open {
		described := conn.describe(now, 0)
		if described.Phase == clientbudget.Writing && described.MayClose() {
			stalled = append(stalled, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range stalled {
		if conn.closeFrom(clientbudget.Writing) {
			c.count(clientbudget.CauseUnreadResponse)
		}
	}
	return len(stalled) > 0
}
