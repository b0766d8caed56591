package host

import (
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/io/engine"
	"cactuswell/io/service"
)

const (
	// dialTimeout bounds the making of a connection to an endpoint.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// idlePerEndpoint bounds the idle connections to one endpoint.
	idlePerEndpoint = 64
	// keepAlivePeriod is the time between two TCP keep-alive probes.
	keepAlivePeriod = 10 * time.Second
)

// newClients returns the clients of endpoints. Watching an endpoint uses other
// connections than the requests do.
func newClients() clients {
	pooled := &http.Client{
		Transport: newTransport(false),
	}
	fresh := &http.Client{
		Transport: newTransport(true),
	}
	watching := &http.Client{
		Transport: newTransport(false),
	}
	return clients{
		engine:   engine.New(pooled, fresh),
		service:  service.New(pooled, fresh),
		watching: engine.New(watching, fresh),
		close: func() {
			pooled.CloseIdleConnections()
			watching.CloseIdleConnections()
		},
	}
}

// newTransport returns a transport that follows no proxy settings. A fresh one
// makes a new connection for each request.
func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlivePeriod,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
	}
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}
