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

// StaticPeers is a list of peers that never changes, as settings give it.
type StaticPeers []Peer

// Live returns the whole list.
func (s StaticPeers) Live() []Peer { return s }

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
