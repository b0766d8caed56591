package configuration

import (
	"net/http"

	"connectrpc.com/connect"

	core "cactuswell/core/configuration"
	"cactuswell/io/node/nodev1/nodev1connect"
)

// maxMessageBytes bounds one message between hosts.
const maxMessageBytes = core.MaxSnapshotBytes + 64*1024

// maxRequestBytes bounds one request of a peer. The largest one is a push.
const maxRequestBytes = 2 << 20

// Peer is another host.
type Peer struct {
	Name string
	Zone string
	// Address is the IP:port of its peer listener.
	Address string
}

// Peers gives the live hosts other than this one. It is safe for concurrent
// use.
type Peers interface {
	Live() []Peer
}

// Static is a list of peers that never changes, as settings give it.
type Static []Peer

// Live returns the whole list.
func (s Static) Live() []Peer { return s }

// Conn is a connection to a peer's RecordsService.
type Conn interface {
	nodev1connect.RecordsServiceClient
	// Close closes the connection once no call uses it.
	Close()
}

// Dialer returns a function that makes connections to peers, each with an HTTP
// client from newClient. A client that is shared must itself leave a silent
// connection behind. BaseURL gives the URL of a peer's address.
func Dialer(baseURL func(address string) string, newClient func() *http.Client) func(Peer) Conn {
	return func(peer Peer) Conn {
		client := newClient()
		return &conn{
			RecordsServiceClient: nodev1connect.NewRecordsServiceClient(
				client, baseURL(peer.Address), connect.WithReadMaxBytes(maxMessageBytes)),
			client: client,
		}
	}
}

type conn struct {
	nodev1connect.RecordsServiceClient
	client *http.Client
}

// Close implements Conn.
func (c *conn) Close() {
	c.client.CloseIdleConnections()
}

// maxConns bounds the connections that one duty keeps.
const maxConns = 32

// connections keeps the connections of one duty. It is not safe for concurrent
// use.
type connections struct {
	dial  func(Peer) Conn
	known map[Peer]Conn
	order []Peer
}

func newConnections(dial func(Peer) Conn) *connections {
	return &connections{
		dial:  dial,
		known: make(map[Peer]Conn),
	}
}

func (c *connections) to(peer Peer) Conn {
	if known, ok := c.known[peer]; ok {
		return known
	}
	if len(c.order) >= maxConns {
		c.drop(c.order[0])
	}
	fresh := c.dial(peer)
	c.known[peer] = fresh
	c.order = append(c.order, peer)
	return fresh
}

// drop leaves a connection behind, so that the next call dials again.
func (c *connections) drop(peer Peer) {
	known, ok := c.known[peer]
	if !ok {
		return
	}
	known.Close()
	delete(c.known, peer)
	for i, other := range c.order {
		if other == peer {
			c.order = append(c.order[:i:i], c.order[i+1:]...)
			return
		}
	}
}

func (c *connections) closeAll() {
	for _, known := range c.known {
		known.Close()
	}
}
