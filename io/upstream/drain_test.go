package upstream_test

import (
	"fmt"
	"strings"
	"testing"
)

// TestDrainIsBounded checks that a connection is kept after a short body that nobody needs,
// and given up for a longer one, which would cost more than a new connection.
func TestDrainIsBounded(t *testing.T) {
	for size, want := range map[int]bool{
		0:        true,
		60 << 10: true,
		70 << 10: false,
	} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			_, conn, server := openConn(t)
			go func() {
				_, _ = fmt.Fprintf(server, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			}()
			response := readResponse(t, conn)
			if got := conn.Drain(response); got != want || conn.IsUsable() != want {
				t.Errorf("usable: %v, want %v", got, want)
			}
		})
	}
}
