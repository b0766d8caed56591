package upstream_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"cactuswell/core/detour"
	"cactuswell/core/evidence"
	"cactuswell/io/upstream"
)

// brokenConn is a connection whose writes fail after some bytes.
type brokenConn struct {
	net.Conn
	written int
}

// Write implements net.Conn.
func (c *brokenConn) Write([]byte) (int, error) { return c.written, net.ErrClosed }

// TestPartlyWrittenRequestMayHaveRun guards against a call that is sent again, or refused with a promise, although a part
// of its request was written.
func TestPartlyWrittenRequestMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		written int
		proven  bool
	}{
		"nothing":  {written: 0, proven: true},
		"one byte": {written: 1},
	} {
		t.Run(name, func(t *testing.T) {
			pool := upstream.New(upstream.Dependencies{
				Dial: func(context.Context, string) (net.Conn, error) {
					inner, _ := net.Pipe()
					return &brokenConn{
						Conn:    inner,
						written: test.written,
					}, nil
				},
			})
			place := evidence.Place{Address: "10.0.0.1:80"}
			conn, err := pool.Get(t.Context(), detour.Endpoint{Address: place.Address}, time.Minute, "id")
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Discard()
			account := evidence.New(false)
			request := getRequest()
			request.Attempt = account.Begin(place)
			var sendError *upstream.SendError
			if err := conn.SendRequest(request, time.Now().Add(time.Minute)); !errors.As(err, &sendError) || sendError.Partial == test.proven {
				t.Errorf("the error is %v", err)
			}
			if proven := account.NotRun() != nil; proven != test.proven {
				t.Errorf("it is proven that the call has not run: %v", proven)
			}
		})
	}
}
