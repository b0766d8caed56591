package host

import (
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/certificate"
	"cactuswell/io/engine"
	"cactuswell/io/service"
	"cactuswell/io/splice"
)

const (
	// dialTimeout bounds the dial of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdleConnsPerEndpoint bounds the number of idle connections to one
	// endpoint.
	maxIdleConnsPerEndpoint = 64
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 32 << 10
	// keepAlivePeriod is the time between two TCP keep-alive probes.
	keepAlivePeriod = 10 * time.Second
)

// newClients returns the clients of endpoints. Polling an endpoint uses other
// connections than the requests do.
func newClients(certificates *certificate.Store) clients {
	keepAlive := newClient(false, certificates)
	singleUse := newClient(true, certificates)
	watching := newClient(false, certificates)
	return clients{
		engine:   engine.New(keepAlive, singleUse),
		service:  service.New(keepAlive, singleUse),
		watching: engine.New(watching, singleUse),
		close: func() {
			keepAlive.CloseIdleConnections()
			watching.CloseIdleConnections()
		},
	}
}

// newClient returns a client that follows no redirects, since a redirect could
// send a call to a second endpoint.
func newClient(singleUse bool, certificates *certificate.Store) *http.Client {
	return &http.Client{
		Transport: newTransport(singleUse, certificates),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// newTransport returns a transport that ignores the proxy settings of the
// environment. With singleUse it dials a new connection for each request, and
// responses that run into another one are errors. The certificates may be nil.
func newTransport(singleUse bool, certificates *certificate.Store) *http.Transport {
	dialer := &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlivePeriod,
	}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        idleTimeout,
	}
	if certificates != nil {
		transport.DialTLSContext = certificates.DialTLS
	}
	if singleUse {
		transport.DialContext = splice.CheckFirst(transport.DialContext)
		if certificates != nil {
			transport.DialTLSContext = splice.CheckFirst(transport.DialTLSContext)
		}
	}
	transport.DialContext = splice.Watch(transport.DialContext)
	if certificates != nil {
		transport.DialTLSContext = splice.Watch(transport.DialTLSContext)
	}
	return transport
}

func hashText(text string) uint64 {
	return xxhash.Sum64String(text)
}
