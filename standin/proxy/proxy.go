// Package proxy is a TCP proxy on the loopback interface that stands in for a network: it
// can hold bytes back in either direction, delay them, and end connections in the ways in
// which a network or a peer does.
//
// # Usage
//
//	link, err := proxy.New(target)
//	defer link.Close()
//	connect to link.Address() in place of target
//	link.SetHeld(proxy.ToTarget, true)
//	link.Reset()
//
// The end of a connection is passed on as it came: an end of the bytes as such, also of one
// direction alone, and a reset as a reset.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/upload"
	"cactuswell/io/tcp"
)

const (
	// bufferBytes is the size of the buffer for each direction of a connection.
	bufferBytes = 16 << 10
	dialTimeout = time.Second
	// settleInterval is the time between two looks at what the target has acknowledged, and quietTime how long a client must
	// have sent nothing to count as done with its request.
	settleInterval = 2 * time.Millisecond
	quietTime      = 20 * time.Millisecond
)

// Direction is a direction in which bytes are passed on.
type Direction int

// The two directions.
const (
	ToTarget Direction = iota
	ToClient
	directions
)

// Proxy passes connections on to a target. It is safe for concurrent use.
type Proxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu    sync.Mutex
	pairs map[*pair]bool
	delay time.Duration
	held  [directions]bool
	// changed is closed and replaced when held or isClosed changes.
	changed  chan struct{}
	isClosed bool
}

// New starts a proxy for a target, an IP address and port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:   target,
		listener: listener,
		pairs:    make(map[*pair]bool),
		changed:  make(chan struct{}),
	}
	p.goroutines.Add(1)
	go p.loop()
	return p, nil
}

// Address returns the IP address and port at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetHeld holds back the bytes of one direction, and the ends of connections with them, or
// lets them pass again.
func (p *Proxy) SetHeld(direction Direction, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[direction] = held
	p.notify()
}

// SetDelay delays all bytes from now on.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Cut ends all open connections in order, as a process that exits does.
func (p *Proxy) Cut() { p.endAll(false) }

// Reset resets all open connections.
func (p *Proxy) Reset() { p.endAll(true) }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.isClosed = true
	p.notify()
	p.mu.Unlock()
	p.endAll(true)
	p.goroutines.Wait()
}

// notify wakes the connections that wait. The caller holds p.mu.
func (p *Proxy) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) endAll(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.end(resets)
	}
}

func (p *Proxy) loop() {
	defer p.goroutines.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &pair{
			proxy: p,
			ended: make(chan struct{}),
		}
		c.conns[ToClient] = client
		p.goroutines.Add(1)
		go c.run()
	}
}

// add adds a pair to those that are open. It reports false if the proxy is closed.
func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pairs[c] = !p.isClosed
	return !p.isClosed
}

func (p *Proxy) remove(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// awaitPassage waits while a direction is held, and for the delay. It reports false if the
// pair has ended.
func (p *Proxy) awaitPassage(c *pair, direction Direction) bool {
	for {
		p.mu.Lock()
		held, changed, delay := p.held[direction] && !p.isClosed, p.changed, p.delay
		p.mu.Unlock()
		if !held {
			return c.awaitDelay(delay)
		}
		select {
		case <-changed:
		case <-c.ended:
			return false
		}
	}
}

// pair is a client's connection and the one to the target, by the direction that leads there.
type pair struct {
	proxy *Proxy
	conns [directions]net.Conn
	once  sync.Once
	ended chan struct{}
	// isPassing is set while bytes for the target have been read and not written.
	isPassing atomic.Bool
}

// run passes bytes on in both directions until both have ended.
func (c *pair) run() {
	defer c.proxy.goroutines.Done()
	if !c.proxy.awaitPassage(c, ToTarget) {
		return
	}
	target, err := net.DialTimeout("tcp", c.proxy.target, dialTimeout)
	if err != nil {
		reset(c.conns[ToClient])
		return
	}
	c.conns[ToTarget] = target
	defer c.proxy.remove(c)
	if !c.proxy.add(c) {
		c.end(true)
		return
	}
	done := make(chan struct{})
	go c.loopRequests(done)
	c.pass(ToClient)
	<-done
	c.end(false)
}

func (c *pair) loopRequests(done chan<- struct{}) {
	defer close(done)
	c.pass(ToTarget)
}

// pass passes the bytes of one direction on until their end.
func (c *pair) pass(direction Direction) {
	to, from := c.conns[direction], c.conns[1-direction]
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if direction == ToTarget {
			c.isPassing.Store(true)
		}
		if !c.proxy.awaitPassage(c, direction) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.end(true)
				return
			}
		}
		if direction == ToTarget {
			c.isPassing.Store(false)
		}
		if errors.Is(err, io.EOF) {
			if direction == ToClient && !c.awaitRequests() {
				c.end(true)
				return
			}
			if half, ok := to.(interface{ CloseWrite() error }); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			c.end(true)
			return
		}
	}
}

// awaitRequests waits until the target has acknowledged what the client has sent, after the target has ended its side. It reports
// false if the target was reset instead: an end in order would hide that, as the client sees the proxy's acknowledgments and not
// those of the target.
func (c *pair) awaitRequests() bool {
	endedAt := time.Now()
	quietSince := endedAt
	transfer := c.transfer()
	watch := upload.New(transfer)
	for {
		acked := transfer.Acked
		select {
		case <-c.ended:
			return false
		case <-time.After(settleInterval):
		}
		transfer = c.transfer()
		if transfer.Acked != acked {
			quietSince = time.Now()
		}
		verdict := watch.Judge(transfer, time.Since(endedAt))
		if verdict == upload.Pending || verdict == upload.Arrived && time.Since(quietSince) < quietTime {
			continue
		}
		return verdict.IsComplete()
	}
}

// transfer returns the state of what the client has sent so far.
func (c *pair) transfer() upload.Transfer {
	isPassing := c.isPassing.Load()
	// A connection that was closed is not known.
	transfer, _ := tcp.InspectTransfer(c.conns[ToTarget])
	transfer.IsWritten = !isPassing && !c.isPassing.Load() && !tcp.HasUnreadBytes(c.conns[ToClient])
	return transfer
}

func (c *pair) awaitDelay(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.ended:
		return false
	}
}

// end closes both connections.
func (c *pair) end(resets bool) {
	c.once.Do(func() {
		close(c.ended)
		for _, conn := range c.conns {
			if resets {
				reset(conn)
				continue
			}
			_ = conn.Close()
		}
	})
}

func reset(conn net.Conn) {
	if lingerer, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	_ = conn.Close()
}
