package upstream_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/core/detour"
	"cactuswell/io/tunnel"
	"cactuswell/io/upstream"
)

// slowTunnels connects after a delay.
type slowTunnels struct {
	delay time.Duration
}

func (s *slowTunnels) Connect(ctx context.Context, address string) (net.Conn, string, error) {
	wait, cancel := context.WithTimeout(ctx, s.delay)
	defer cancel()
	<-wait.Done()
	if err := ctx.Err(); err != nil {
		return nil, "", &tunnel.ConnectError{
			Address: address,
			Reason:  tunnel.HostUnreachable,
			Err:     err,
		}
	}
	conn, _ := net.Pipe()
	return conn, "10.0.0.2:80", nil
}

// TestLostPathWaitsForSlowHost guards against calls that fail because the hosts that still have a
// path carry the load of all and are slow.
func TestLostPathWaitsForSlowHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tunnels := &slowTunnels{}
		pool := upstream.New(upstream.Dependencies{
			Dial: func(context.Context, string) (net.Conn, error) {
				return nil, &net.OpError{
					Op:  "dial",
					Err: syscall.ECONNREFUSED,
				}
			},
			Tunnels: tunnels,
		})
		get := func(address string) error {
			conn, err := pool.Get(t.Context(), detour.Endpoint{
				Service: "booking",
				Address: address,
			}, 0, "request")
			if err == nil {
				conn.Discard()
			}
			return err
		}
		for _, address := range []string{"10.0.0.3:80", "10.0.0.4:80"} {
			if err := get(address); err != nil {
				t.Fatal(err)
			}
		}
		if !pool.IsPathLost("booking") {
			t.Fatal("the path does not count as lost")
		}
		tunnels.delay = time.Second
		if err := get("10.0.0.5:80"); err != nil {
			t.Error(err)
		}
	})
}
