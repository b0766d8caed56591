package upstream_test

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"cactuswell/core/detour"
	"cactuswell/io/upstream"
)

// answeringEndpoint answers each request with 204.
func answeringEndpoint(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(conn)
		}
	}()
	return listener.Addr().String()
}

// exchange takes a connection for a request, carries the request out and releases the connection.
// It reports whether the connection was used before.
func exchange(t *testing.T, pool *upstream.Pool, address, requestID string) (reused bool) {
	t.Helper()
	conn, err := pool.Get(context.Background(), detour.Endpoint{Address: address}, time.Minute, requestID)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SendRequest(getRequest(), time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	reused = conn.Reused()
	conn.Release(readResponse(t, conn))
	return reused
}

// TestConnCarriesEachRequestIDOnce guards against a late response to an earlier attempt of a call that
// passes for the response to the next one.
func TestConnCarriesEachRequestIDOnce(t *testing.T) {
	address := answeringEndpoint(t)
	pool := upstream.New(upstream.Dependencies{})
	for i, step := range []struct {
		id         string
		wantReused bool
		wantOpen   int64
	}{
		{id: "a", wantReused: false, wantOpen: 1},
		{id: "b", wantReused: true, wantOpen: 1},
		{id: "a", wantReused: false, wantOpen: 2},
		{id: "b", wantReused: true, wantOpen: 2},
		{id: "b", wantReused: false, wantOpen: 2},
		{id: "c", wantReused: true, wantOpen: 2},
	} {
		if got := exchange(t, pool, address, step.id); got != step.wantReused || pool.OpenCount() != step.wantOpen {
			t.Errorf("step %d: reused %v with %d open connections, want %v and %d", i, got, pool.OpenCount(), step.wantReused, step.wantOpen)
		}
	}
	if got := pool.PassedOverCount(); got != 3 {
		t.Errorf("%d connections were passed over, want 3", got)
	}
}

// TestRepeatedRequestIDKeepsFewConnections guards against callers that use one ID for all calls and
// take up the connections that an endpoint accepts.
func TestRepeatedRequestIDKeepsFewConnections(t *testing.T) {
	address := answeringEndpoint(t)
	pool := upstream.New(upstream.Dependencies{})
	for range 20 {
		if exchange(t, pool, address, "a") {
			t.Fatal("a connection carried two requests with the same ID")
		}
	}
	if pool.OpenCount() != 2 {
		t.Errorf("%d connections are open, want 2", pool.OpenCount())
	}
}

// TestConnCarriesBoundedRequests guards against IDs that take memory for as long as a connection is kept.
func TestConnCarriesBoundedRequests(t *testing.T) {
	address := answeringEndpoint(t)
	pool := upstream.New(upstream.Dependencies{})
	for i := range 2001 {
		exchange(t, pool, address, strconv.Itoa(i))
	}
	if pool.DialCount() != 3 {
		t.Errorf("2001 requests took %d connections, want 3", pool.DialCount())
	}
}
