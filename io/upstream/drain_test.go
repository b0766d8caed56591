package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactuswell/io/upstream"
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
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
				// The connection stays open until the client closes it.
				_, _ = conn.Read(make([]byte, 1))
			}()
			conn, err := upstream.New().Get(context.Background(), listener.Addr().String(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Discard()
			request := &upstream.Request{
				Method: http.MethodGet,
				Target: "/",
				Host:   "firm.example",
			}
			if err := conn.SendRequest(request, time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			response, err := conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			if got := conn.Drain(response); got != want || conn.IsUsable() != want {
				t.Errorf("usable: %v, want %v", got, want)
			}
		})
	}
}
