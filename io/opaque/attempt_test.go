package opaque

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"cactuswell/core/detour"
	"cactuswell/core/scheduling"
	"cactuswell/io/upstream"
)

// TestConnOfCanceledCallIsNotReused guards against a connection that is closed because of
// one caller while it carries the call of another. A caller that leaves just when its
// answer is complete aborts the connection; it was put into the pool nevertheless, and the
// next call on it broke off, with an unknown result if it must not run twice.
func TestConnOfCanceledCallIsNotReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	for name, wantReused := range map[string]bool{
		"canceled": false,
		"kept":     true,
	} {
		t.Run(name, func(t *testing.T) {
			pool := upstream.New(upstream.Dependencies{})
			getConn := func(id string) *upstream.Conn {
				conn, err := pool.Get(t.Context(), detour.Endpoint{Address: listener.Addr().String()}, time.Minute, id)
				if err != nil {
					t.Fatal(err)
				}
				return conn
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://firm.example/", nil)
			if err != nil {
				t.Fatal(err)
			}
			a := &attempt{
				exchange: &exchange{
					server:  &Server{aborted: t.Context()},
					request: request,
				},
				response: &http.Response{StatusCode: http.StatusOK},
			}
			a.bindConn(getConn("first"))
			if name == "canceled" {
				cancel()
			}
			if _, ok := a.releaseConn(scheduling.Completed{}).(scheduling.Completed); !ok {
				t.Error("the answer does not count as complete")
			}
			next := getConn("next")
			defer next.Discard()
			if next.Reused() != wantReused {
				t.Errorf("the next call reuses the connection: %v", next.Reused())
			}
		})
	}
}
