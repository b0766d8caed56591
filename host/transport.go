package host

import (
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/certificate"
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
func newClients(certificates *certificate.Store) clients {
	pooled := newClient(false, certificates)
	fresh := newClient(true, certificates)
	watching := newClient(false, certificates)
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

// newClient returns a client that follows no redirects, since a redirect could
// send a call to a second endpoint.
func newClient(fresh bool, certificates *certificate.Store) *http.Client {
	return &http.Client{
		Transport: newTransport(fresh, certificates),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// newTransport returns a transport that follows no proxy settings. A fresh one
// makes a new connection for each request. The certificates may be nil.
func newTransport(fresh bool, certificates *certificate.Store) *http.Transport {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlivePeriod,
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
	}
	if certificates != nil {
		transport.DialTLSContext = certificates.DialTLS
	}
	return transport
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}
