package load

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readyInterval is the time between two looks at a host's readiness.
	readyInterval = 250 * time.Millisecond
	// readyTimeout bounds one look.
	readyTimeout = time.Second
)

// balancer stands for the platform's balancer: it sends requests to the hosts
// that said lately that they are ready. It is safe for concurrent use.
type balancer struct {
	hosts []string
	http  *http.Client
	mu    sync.Mutex
	ready []bool
}

func newBalancer(hosts []string) *balancer {
	b := &balancer{
		hosts: hosts,
		http: &http.Client{
			Timeout: readyTimeout,
		},
		ready: make([]bool, len(hosts)),
	}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// run looks at one host's readiness until ctx ends.
func (b *balancer) run(ctx context.Context, host int) {
	for pause(ctx, readyInterval) {
		ready := b.look(ctx, b.hosts[host])
		b.mu.Lock()
		b.ready[host] = ready
		b.mu.Unlock()
	}
}

func (b *balancer) look(ctx context.Context, host string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the first ready host from the wanted one on, or the wanted one if
// none is ready.
func (b *balancer) pick(wanted int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.hosts {
		host := (wanted + i) % len(b.hosts)
		if b.ready[host] {
			return b.hosts[host]
		}
	}
	return b.hosts[wanted%len(b.hosts)]
}

// neverSent reports whether a request failed before a connection was had, so
// that the balancer may send it to another host.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
