package node

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// maxPooledPeers limits the pooled connections.
	maxPooledPeers = 128
	// dialTimeout is the timeout of a dial whose call has no earlier deadline.
	dialTimeout = 2 * time.Second
	// idleConnTimeout is the time without calls after which a connection is
	// closed.
	idleConnTimeout = 60 * time.Second
	// pingDelay is the time without data on a connection with calls in flight
	// after which it is pinged, and pingTimeout the timeout of the response.
	pingDelay   = 5 * time.Second
	pingTimeout = 2 * time.Second
	// maxPeerHeaderBytes limits the header of a peer's request or response.
	maxPeerHeaderBytes = 64 << 10
)

// Transport sends calls to peers over HTTP/2, with one persistent connection to
// each peer. It is an http.RoundTripper that is safe for concurrent use.
//
// A call that times out retires its connection: the next call to the peer dials
// again, while other calls on the old connection continue. So a silent
// connection hides a live peer or a change for no longer than one call. Each
// call must have a deadline.
type Transport struct {
	tlsConfig *tls.Config
	traffic   *traffic
	mu        sync.Mutex
	peers     map[string]*peer
	closed    bool
	evicted   uint64
	retired   uint64
}

// peer holds the connection to one address.
type peer struct {
	transport *http.Transport
	lastUsed  time.Time
}

// NoDeadlineError reports that a call to a peer had no deadline.
type NoDeadlineError struct{}

// Error implements error.
func (*NoDeadlineError) Error() string { return "call to a peer has no deadline" }

// ClosedError reports that the transport is closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "peer transport is closed" }

// newTransport returns a transport without connections. Without a TLS
// configuration it uses HTTP/2 in cleartext.
func newTransport(tlsConfig *tls.Config, counts *traffic) *Transport {
	return &Transport{
		tlsConfig: tlsConfig,
		traffic:   counts,
		peers:     make(map[string]*peer),
	}
}

// Client returns an HTTP client that uses this transport, for connect clients.
func (t *Transport) Client() *http.Client {
	return &http.Client{
		Transport: t,
	}
}

// BaseURL returns the URL of the peer at the address.
func (t *Transport) BaseURL(address string) string {
	if t.tlsConfig != nil {
		return "https://" + address
	}
	return "http://" + address
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if _, ok := request.Context().Deadline(); !ok {
		return nil, trace.Wrap(&NoDeadlineError{})
	}
	address := request.URL.Host
	p, err := t.peer(address)
	if err != nil {
		return nil, err
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		if isTimeout(request.Context(), err) {
			t.retire(address, p)
		}
		return nil, trace.Wrap(err)
	}
	response.Body = &retiringBody{
		ReadCloser: response.Body,
		transport:  t,
		address:    address,
		peer:       p,
		ctx:        request.Context(),
	}
	return response, nil
}

// Redial makes the next call to the address use a new connection. Calls in
// flight continue.
func (t *Transport) Redial(address string) {
	t.mu.Lock()
	p := t.peers[address]
	t.mu.Unlock()
	if p != nil {
		t.retire(address, p)
	}
}

// Close closes the idle connections and rejects further calls.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for address, p := range t.peers {
		p.transport.CloseIdleConnections()
		delete(t.peers, address)
	}
}

// peer returns the peer at the address. If it adds one to a full pool, it
// evicts the peer that was not used for the longest time.
func (t *Transport) peer(address string) (*peer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, trace.Wrap(&ClosedError{})
	}
	p, ok := t.peers[address]
	if !ok {
		if len(t.peers) >= maxPooledPeers {
			t.evictLeastRecentlyUsed()
		}
		p = &peer{
			transport: t.newHTTPTransport(),
		}
		t.peers[address] = p
	}
	p.lastUsed = time.Now()
	return p, nil
}

func (t *Transport) evictLeastRecentlyUsed() {
	var oldest string
	for address, p := range t.peers {
		if oldest == "" || p.lastUsed.Before(t.peers[oldest].lastUsed) {
			oldest = address
		}
	}
	t.peers[oldest].transport.CloseIdleConnections()
	delete(t.peers, oldest)
	t.evicted++
}

// retire removes the peer's connection from the pool, unless it has been
// removed already.
func (t *Transport) retire(address string, p *peer) {
	t.mu.Lock()
	if t.peers[address] == p {
		delete(t.peers, address)
		t.retired++
	}
	t.mu.Unlock()
	p.transport.CloseIdleConnections()
}

func (t *Transport) newHTTPTransport() *http.Transport {
	protocols := new(http.Protocols)
	if t.tlsConfig != nil {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Transport{
		DialContext:            t.dial,
		TLSClientConfig:        t.tlsConfig.Clone(),
		TLSHandshakeTimeout:    dialTimeout,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxPeerHeaderBytes,
		Protocols:              protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingDelay,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: pingTimeout,
		},
	}
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t.traffic.dials.Add(1)
	return &countingConn{
		Conn:    conn,
		traffic: t.traffic,
	}, nil
}

// retiringBody is a response body that retires the connection if reading it
// times out.
type retiringBody struct {
	io.ReadCloser
	transport *Transport
	address   string
	peer      *peer
	ctx       context.Context
}

// Read implements io.Reader.
func (b *retiringBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && isTimeout(b.ctx, err) {
		b.transport.retire(b.address, b.peer)
	}
	return n, err
}

func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded)
}
