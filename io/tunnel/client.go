package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cactuswell/io/httphead"
	"cactuswell/io/tcp"
)

const (
	// askDelay is how long a host may take to answer until another one is asked too, for
	// each host that has not answered. It is several round trips within a region.
	askDelay = 100 * time.Millisecond
	// hostDialTimeout bounds the time to reach another host. It allows for the
	// retransmission of a dropped SYN.
	hostDialTimeout = 1200 * time.Millisecond
	// ackTimeout is how long sent bytes may remain unacknowledged by the other host.
	ackTimeout = 1200 * time.Millisecond
	keepAlive  = time.Second
	// exclusionTime is how long a host is not asked again after it has said that it cannot
	// help, and asked after all others once it has not answered.
	exclusionTime = time.Second
	// maxHostsAsked bounds the hosts that are asked for one connection.
	maxHostsAsked = 5
	// maxResponseBytes bounds the header of a response.
	maxResponseBytes = 4 << 10
)

// Hosts are the other hosts of the fleet.
type Hosts interface {
	// PickHost returns the address of a live host for which isExcluded reports false,
	// or "" if there is none.
	PickHost(isExcluded func(address string) bool) string
}

// Client opens tunnels. It is safe for concurrent use.
type Client struct {
	hosts  Hosts
	dialer *tcp.Dialer

	mu sync.Mutex
	// excluded holds the hosts that are not asked until the given time, and silent those
	// that are asked after all others until then.
	excluded map[string]time.Time
	silent   map[string]time.Time
}

// NewClient returns a client that asks the given hosts.
func NewClient(hosts Hosts) *Client {
	return &Client{
		hosts: hosts,
		dialer: tcp.NewDialer(tcp.Settings{
			DialTimeout: hostDialTimeout,
			AckTimeout:  ackTimeout,
			KeepAlive:   keepAlive,
		}),
		excluded: make(map[string]time.Time),
		silent:   make(map[string]time.Time),
	}
}

// Connect opens a connection to the endpoint at an address through another host, and returns
// it with the address of that host. A host that takes long is waited for until ctx ends, while
// others are asked too: the last one with a path may be slow. The error is a *ConnectError.
func (c *Client) Connect(ctx context.Context, address string) (net.Conn, string, error) {
	s := &search{
		client:  c,
		address: address,
		asked:   make(map[string]bool),
		waiting: make(map[string]bool),
		answers: make(chan answer, maxHostsAsked),
	}
	return s.run(ctx)
}

// pick returns the address of a host to ask, or "" if there is none. Those that have not
// answered lately come last.
func (c *Client) pick(asked map[string]bool) string {
	host := c.hosts.PickHost(func(host string) bool {
		return asked[host] || c.isListed(c.excluded, host) || c.isListed(c.silent, host)
	})
	if host != "" {
		return host
	}
	return c.hosts.PickHost(func(host string) bool { return asked[host] || c.isListed(c.excluded, host) })
}

func (c *Client) isListed(list map[string]time.Time, host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := list[host]
	if ok && !time.Now().Before(until) {
		delete(list, host)
		return false
	}
	return ok
}

func (c *Client) list(list map[string]time.Time, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list[host] = time.Now().Add(exclusionTime)
}

// recordAnswer records whether a host can help.
func (c *Client) recordAnswer(host string, failure *ConnectError) {
	switch {
	case failure == nil:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.silent, host)
	case failure.Reason == HostUnreachable:
		c.list(c.silent, host)
	case failure.Reason != Unproven && !failure.IsEndpointDown():
		c.list(c.excluded, host)
	}
}

// search asks hosts for one connection until one opens it.
type search struct {
	client  *Client
	address string
	asked   map[string]bool
	// waiting holds the hosts that have not answered.
	waiting map[string]bool
	// last is the host that was asked last.
	last    string
	answers chan answer
}

// answer is that of one host.
type answer struct {
	host    string
	conn    net.Conn
	failure *ConnectError
}

func (s *search) run(ctx context.Context) (net.Conn, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failure := &ConnectError{
		Address: s.address,
		Reason:  NoHost,
	}
	for {
		s.askNext(ctx)
		if len(s.waiting) == 0 {
			return nil, "", failure
		}
		received, ok := s.await(ctx)
		switch {
		case !ok && ctx.Err() != nil:
			s.abandon()
			return nil, "", &ConnectError{
				Host:    s.last,
				Address: s.address,
				Reason:  HostUnreachable,
				Err:     ctx.Err(),
			}
		case !ok:
			for host := range s.waiting {
				s.client.list(s.client.silent, host)
			}
		case received.failure == nil:
			s.abandon()
			return received.conn, received.host, nil
		case received.failure.IsEndpointDown():
			s.abandon()
			return nil, "", received.failure
		default:
			failure = received.failure
		}
	}
}

// askNext asks one more host, if there is one.
func (s *search) askNext(ctx context.Context) {
	if len(s.asked) >= maxHostsAsked || ctx.Err() != nil {
		return
	}
	host := s.client.pick(s.asked)
	if host == "" {
		return
	}
	s.asked[host] = true
	s.waiting[host] = true
	s.last = host
	go s.runAsk(ctx, host)
}

func (s *search) runAsk(ctx context.Context, host string) {
	conn, failure := s.client.ask(ctx, host, s.address)
	s.answers <- answer{
		host:    host,
		conn:    conn,
		failure: failure,
	}
}

// await waits for an answer. It reports false once another host is to be asked too, or ctx
// has ended.
func (s *search) await(ctx context.Context) (answer, bool) {
	wait := ctx
	if len(s.asked) < maxHostsAsked {
		var cancel context.CancelFunc
		wait, cancel = context.WithTimeout(ctx, time.Duration(len(s.waiting))*askDelay)
		defer cancel()
	}
	select {
	case received := <-s.answers:
		delete(s.waiting, received.host)
		s.client.recordAnswer(received.host, received.failure)
		return received, true
	case <-wait.Done():
		return answer{}, false
	}
}

// abandon makes sure that the connections that are opened nevertheless are closed.
func (s *search) abandon() {
	if len(s.waiting) > 0 {
		go s.runAbandon()
	}
}

func (s *search) runAbandon() {
	for range s.waiting {
		if received := <-s.answers; received.failure == nil {
			_ = received.conn.Close()
		}
	}
}

// ask asks one host to connect.
func (c *Client) ask(ctx context.Context, host, address string) (net.Conn, *ConnectError) {
	failure := &ConnectError{
		Host:    host,
		Address: address,
		Reason:  HostUnreachable,
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", host)
	if err != nil {
		failure.Err = err
		return nil, failure
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	tunnel, reason, err := requestTunnel(conn, address)
	failure.Reason = reason
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil && failure.Reason == "" {
		return tunnel, nil
	}
	failure.Err = errors.Join(err, conn.Close())
	return nil, failure
}

// requestTunnel sends a CONNECT request, and returns the tunnel or why it was not granted.
func requestTunnel(conn net.Conn, address string) (*clientConn, Reason, error) {
	request := "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n" + framingHeader + ": " + framingLength + "\r\n" +
		receiptsHeader + ": " + receiptsCount + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return nil, HostUnreachable, err
	}
	reader := bufio.NewReaderSize(&limitedReader{
		conn: conn,
		left: maxResponseBytes,
	}, maxResponseBytes)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, HostUnreachable, err
	}
	_ = response.Body.Close()
	if err := httphead.Check(response); err != nil {
		return nil, HostUnreachable, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, Reason(response.Header.Get(reasonHeader)), &StatusError{Status: response.StatusCode}
	}
	tunnel := &clientConn{
		Conn:        conn,
		isFramed:    acceptsFrames(response.Header),
		hasReceipts: acceptsFrames(response.Header) && acceptsReceipts(response.Header),
	}
	if err := tunnel.takeBuffered(reader); err != nil {
		return nil, HostUnreachable, err
	}
	return tunnel, "", nil
}

// limitedReader reads a bounded number of bytes. Endpoints send nothing before a request, so
// it reads no byte that belongs to the tunnel.
type limitedReader struct {
	conn net.Conn
	left int
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLongResponse
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
