package clientconns

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"cactuswell/core/clientbudget"
	"cactuswell/io/tcp"
)

// HeaderLinesError reports a request whose header has too many lines.
type HeaderLinesError struct {
	Limit int
}

// Error returns a message with the limit.
func (e *HeaderLinesError) Error() string {
	return fmt.Sprintf("the request's header has more than %d lines", e.Limit)
}

// HeaderMemoryError reports a request whose header does not fit into the memory for headers.
type HeaderMemoryError struct{}

// Error returns a message.
func (*HeaderMemoryError) Error() string { return "no memory is left for headers of requests" }

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	conns   *Conns
	address netip.Addr
	// phase is a clientbudget.Phase, and since the time at which it began.
	phase atomic.Uint32
	since atomic.Int64
	// received is the number of bytes that have arrived in the phase, and receivedAt the
	// time of the last ones of a body.
	received   atomic.Int64
	receivedAt atomic.Int64
	// headerLines is used by the reader only. headerCost is what the header has taken
	// from the memory for headers.
	headerLines int
	headerCost  atomic.Int64
	// writingSince is the time at which a write in progress began, or zero.
	writingSince atomic.Int64
	// sampledWrite is the write of which sampledAt and sampledAcked are a sample: its
	// time and the bytes that the client had acknowledged. They are guarded by conns.mu.
	sampledWrite int64
	sampledAt    int64
	sampledAcked uint64
	writeLag     time.Duration
	// hasFailed is set if reads must fail.
	hasFailed atomic.Bool
}

// closedPhase follows the phases of clientbudget: the connection is being closed for others.
// It has no other phase afterwards.
const closedPhase = uint32(clientbudget.Serving) + 1

// setPhase begins a phase. It reports false if the connection is being closed.
func (c *Conn) setPhase(phase clientbudget.Phase) bool {
	for {
		before := c.phase.Load()
		if before == closedPhase {
			return false
		}
		if c.phase.CompareAndSwap(before, uint32(phase)) {
			c.since.Store(c.conns.now())
			c.received.Store(0)
			return true
		}
	}
}

// closeFrom closes the connection if it is still in the given phase. A request that was read
// meanwhile is served.
func (c *Conn) closeFrom(phase clientbudget.Phase) bool {
	if phase == clientbudget.Writing {
		phase = clientbudget.Serving
	}
	if !c.phase.CompareAndSwap(uint32(phase), closedPhase) {
		return false
	}
	c.conns.remove(c)
	_ = c.Close()
	return true
}

// IsClosed reports whether the connection was closed for others.
func (c *Conn) IsClosed() bool { return c.phase.Load() == closedPhase }

func (c *Conn) currentPhase() clientbudget.Phase { return clientbudget.Phase(c.phase.Load()) }

// describe returns what the decisions need to know of the connection. The caller of describe
// holds conns.mu.
func (c *Conn) describe(now int64, addressConns int) clientbudget.Conn {
	described := clientbudget.Conn{
		Phase:        c.currentPhase(),
		Lag:          time.Duration(now - c.since.Load()),
		AddressConns: addressConns,
	}
	switch described.Phase {
	case clientbudget.Body:
		described.Lag = clientbudget.Lag(described.Lag, c.received.Load())
	case clientbudget.Serving:
		if writing := c.writingSince.Load(); writing != 0 && writing == c.sampledWrite {
			described.Phase = clientbudget.Writing
			described.Lag = c.writeLag
		}
	}
	return described
}

// sampleWrite updates the lag of a write in progress. A write that the sockets' buffers take is
// over before it is sampled. The caller of sampleWrite holds conns.mu.
func (c *Conn) sampleWrite(now int64) {
	writing := c.writingSince.Load()
	if writing == 0 || now-writing < int64(sweepInterval) {
		return
	}
	acked, ok := tcp.AckedBytes(c.Conn)
	if !ok {
		// Without the number of bytes the server's write timeout applies.
		return
	}
	if writing != c.sampledWrite {
		c.sampledWrite = writing
		c.sampledAt = now
		c.sampledAcked = acked
	}
	c.writeLag = clientbudget.Lag(time.Duration(now-c.sampledAt), int64(acked-c.sampledAcked))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	// The server reads on only if the header is not complete.
	if limit := c.conns.settings.MaxHeaderLines; limit > 0 && c.headerLines > limit && c.currentPhase() == clientbudget.Header {
		if c.conns.settings.ReportExcess != nil {
			c.conns.settings.ReportExcess(c.RemoteAddr(), &HeaderLinesError{Limit: limit})
		}
		c.conns.count(clientbudget.CauseHeaderLines)
		return 0, &HeaderLinesError{Limit: limit}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if countErr := c.countReceived(p[:n]); countErr != nil {
			return 0, countErr
		}
	}
	return n, err
}

// countReceived records bytes that have arrived.
func (c *Conn) countReceived(received []byte) error {
	phase := c.currentPhase()
	if phase == clientbudget.Idle && c.conns.settings.Encrypted {
		c.since.Store(c.conns.now())
		return nil
	}
	if phase == clientbudget.Silent || phase == clientbudget.Idle {
		c.headerLines = 0
		phase = clientbudget.Header
		if !c.setPhase(phase) {
			return net.ErrClosed
		}
	}
	total := c.received.Add(int64(len(received)))
	if phase == clientbudget.Body {
		c.receivedAt.Store(c.conns.now())
	}
	if phase != clientbudget.Header {
		return nil
	}
	if !c.conns.settings.Encrypted {
		c.headerLines += bytes.Count(received, []byte{'\n'})
	}
	more := clientbudget.HeaderCost(int(total), c.headerLines) - c.headerCost.Load()
	if more <= 0 {
		return nil
	}
	if !c.conns.takeHeader(more) && (!c.conns.makeHeaderRoom(more) || !c.conns.takeHeader(more)) {
		c.conns.count(clientbudget.CauseHeaderMemory)
		return &HeaderMemoryError{}
	}
	c.headerCost.Add(more)
	return nil
}

// Arrival describes the header or body that is arriving.
func (c *Conn) Arrival() clientbudget.Arrival {
	now, since := c.conns.now(), c.since.Load()
	return clientbudget.Arrival{
		Elapsed:  time.Duration(now - since),
		Received: c.received.Load(),
		Silent:   time.Duration(now - max(c.receivedAt.Load(), since)),
	}
}

// releaseHeader returns the memory of the header.
func (c *Conn) releaseHeader() { c.conns.headers.Add(-c.headerCost.Swap(0)) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(c.conns.now())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	return n, err
}

// BeginBody begins the arrival of a request's body, and EndBody ends it.
func (c *Conn) BeginBody() { c.setPhase(clientbudget.Body) }

// EndBody ends the arrival of a request's body. It reports false if FailBody has ended it
// before: the request must be refused.
func (c *Conn) EndBody() bool {
	return c.phase.CompareAndSwap(uint32(clientbudget.Body), uint32(clientbudget.Serving))
}

// FailBody makes the read of a body that is arriving, and all later reads, time out. It
// reports false if none is arriving.
func (c *Conn) FailBody() bool {
	if !c.phase.CompareAndSwap(uint32(clientbudget.Body), uint32(clientbudget.Serving)) {
		return false
	}
	c.hasFailed.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// HasFailed reports whether FailBody has ended the arrival of a body.
func (c *Conn) HasFailed() bool { return c.hasFailed.Load() }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.hasFailed.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// ResetOnClose makes Close reset the connection: what the client has not received is dropped. So
// does the operating system if the process is killed.
func (c *Conn) ResetOnClose() { c.setLinger(0) }

// CloseInOrder undoes ResetOnClose.
func (c *Conn) CloseInOrder() { c.setLinger(-1) }

func (c *Conn) setLinger(seconds int) {
	if lingerer, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = lingerer.SetLinger(seconds)
	}
}

// CloseWrite closes the sending side of the connection. http.Server calls it when the client
// may still be sending.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, tcp.ErrNotInspectable
}
