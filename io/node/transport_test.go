package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestTransportRefusesCallsWithoutDeadline(t *testing.T) {
	transport := newTransport(nil, &traffic{})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1:1/", nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = transport.RoundTrip(request)
	var missing *NoDeadlineError
	if !errors.As(err, &missing) {
		t.Errorf("error is %v", err)
	}
}

func TestTransportPoolIsBounded(t *testing.T) {
	transport := newTransport(nil, &traffic{})
	const addresses = maxPooledPeers + 50
	for i := range addresses {
		if _, err := transport.peer(fmt.Sprintf("10.0.0.1:%d", i)); err != nil {
			t.Fatal(err)
		}
	}
	if len(transport.peers) != maxPooledPeers || transport.evicted != addresses-maxPooledPeers {
		t.Errorf("%d peers, %d evicted", len(transport.peers), transport.evicted)
	}
	if _, ok := transport.peers["10.0.0.1:0"]; ok {
		t.Error("the least recently used peer was kept")
	}
}

func TestTransportRedialsAfterTimeout(t *testing.T) {
	defer goleak.VerifyNone(t)
	n := New(Dependencies{})
	listener := listenLoopback(t)
	release := make(chan struct{})
	server := n.Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-release
		}
	}))
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	get := func(path string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.transport.BaseURL(listener.Addr().String())+path, nil)
		if err != nil {
			return err
		}
		response, err := n.client.Do(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	for range 3 {
		if err := get("/", time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	if dials := n.Counters().Dials; dials != 1 {
		t.Errorf("%d dials for sequential calls", dials)
	}
	if err := get("/silent", 50*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("silent call ended with %v", err)
	}
	if err := get("/", time.Minute); err != nil {
		t.Error(err)
	}
	if counters := n.Counters(); counters.Dials != 2 || counters.PeersRetired != 1 {
		t.Errorf("after a timeout: %+v", counters)
	}
	close(release)
	n.transport.Close()
	_ = server.Close()
	<-served
	var closed *ClosedError
	if err := get("/", time.Minute); !errors.As(err, &closed) {
		t.Errorf("call on a closed transport ended with %v", err)
	}
}
