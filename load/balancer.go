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
	// readinessInterval is the delay between two readiness probes of a host.
	readinessInterval = 250 * time.Millisecond
	// readinessTimeout is the timeout of one probe.
	readinessTimeout = time.Second
)

// balancer simulates the platform's load balancer: it selects hosts that reported
// in their last probe that they are ready. It is safe for concurrent use.
type balancer struct {
	hosts  []string
	client *http.Client
	mu     sync.Mutex
	ready  []bool
}

func newBalancer(hosts []string) *balancer {
	b := &balancer{
		hosts: hosts,
		client: &http.Client{
			Timeout: readinessTimeout,
		},
		ready: make([]bool, len(hosts)),
	}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// pollReadiness probes one host until ctx is done.
func (b *balancer) pollReadiness(ctx context.Context, host int) {
	for sleep(ctx, readinessInterval) {
		ready := b.isReady(ctx, b.hosts[host])
		b.mu.Lock()
		b.ready[host] = ready
		b.mu.Unlock()
	}
}

func (b *balancer) isReady(ctx context.Context, host string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the first ready host at or after the preferred index, or the
// preferred host if none is ready.
func (b *balancer) pick(preferred int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.hosts {
		host := (preferred + i) % len(b.hosts)
		if b.ready[host] {
			return b.hosts[host]
		}
	}
	return b.hosts[preferred%len(b.hosts)]
}

// isDialError reports whether a request failed before a connection was established,
// so that the balancer may send it to another host.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
