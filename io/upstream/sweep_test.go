package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"cactuswell/io/upstream"
)

// TestSweepClosesConnWithBytes guards against bytes that an endpoint goes on sending on an
// idle connection: they stayed in the socket's buffer, and counted as the host's memory,
// until the connection was due for another call.
func TestSweepClosesConnWithBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	pool := upstream.New()
	address := listener.Addr().String()
	conn, err := pool.Get(context.Background(), address, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	request := &upstream.Request{
		Method: http.MethodGet,
		Target: "/",
		Host:   "firm.example",
	}
	if err := conn.SendRequest(request, time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(server, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	conn.Release(response)
	keep := map[string]bool{address: true}
	pool.Sweep(time.Now(), keep)
	if pool.OpenCount() != 1 {
		t.Fatal("a sound idle connection was closed")
	}
	if _, err := io.WriteString(server, "more"); err != nil {
		t.Fatal(err)
	}
	for pool.OpenCount() == 1 {
		pool.Sweep(time.Now(), keep)
		runtime.Gosched()
	}
	if pool.UnsolicitedCount() != 1 {
		t.Errorf("%d connections with unsolicited bytes, want 1", pool.UnsolicitedCount())
	}
}
