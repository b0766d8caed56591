package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"cactuswell/io/httpjson"
)

// FetchFromPeer makes a request to another host.
func FetchFromPeer(ctx context.Context, address string) error {
	_, err := httpjson.Fetch(ctx, newPeerClient(), http.MethodGet, "http://"+address+changesPath, nil, maxChangesBytes)
	return err
}

// WrapCallerListener wraps the callers' listener. It must be called before Run.
func (g *Gateway) WrapCallerListener(wrap func(net.Listener) net.Listener) {
	g.callerListener = wrap(g.callerListener)
}

// WrapPeerListener wraps the listener for other hosts. It must be called before Run.
func (g *Gateway) WrapPeerListener(wrap func(net.Listener) net.Listener) {
	g.peerListener = wrap(g.peerListener)
}

// SetCallerWriteTimeout sets the time from a request's header to the end of its response.
// It must be called before Run.
func (g *Gateway) SetCallerWriteTimeout(timeout time.Duration) { g.callerServer.WriteTimeout = timeout }

// IsLogOverloaded reports whether the host omits the log lines of new calls.
func (g *Gateway) IsLogOverloaded() bool { return g.trail.IsOverloaded() }

// SentDatagrams returns the number of datagrams that the host has sent to others.
func (g *Gateway) SentDatagrams() int64 { return g.mesh.SentDatagrams() }

// StreamTopic is the topic of the records of streams.
const StreamTopic = streamTopic

// UsagePath is the path on which the holder of the lease receives counts.
const UsagePath = usagePath
