package opaque_test

import (
	"net"
	"sync"
	"testing"

	"cactuswell/io/opaque"
	standin "cactuswell/standin/opaque"
)

// TestCrashEndsConnectionsBeingAccepted guards against a connection that outlives a crash, for
// which Close would wait without end.
func TestCrashEndsConnectionsBeingAccepted(t *testing.T) {
	for range 300 {
		endpoint, err := standin.New(standin.Settings{
			ID:    "endpoint",
			Names: opaque.DefaultHeaderNames(),
		})
		if err != nil {
			t.Fatal(err)
		}
		var dials sync.WaitGroup
		conns := make(chan net.Conn, 16)
		for range cap(conns) {
			dials.Go(func() {
				if conn, err := net.Dial("tcp", endpoint.Address()); err == nil {
					conns <- conn
				}
			})
		}
		endpoint.Close()
		dials.Wait()
		close(conns)
		for conn := range conns {
			_ = conn.Close()
		}
	}
}
