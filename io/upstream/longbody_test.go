package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cactuswell/core/detour"
	"cactuswell/io/upstream"
)

// TestEndpointThatReadsLateIsNotBroken guards against a call that breaks off because the endpoint reads its body late: the
// time that sent bytes may remain unacknowledged also ended connections whose peer was alive and had no room.
func TestEndpointThatReadsLateIsNotBroken(t *testing.T) {
	const size, lateness = 1 << 20, 2500 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
		if err != nil {
			return
		}
		<-time.After(lateness)
		n, _ := io.Copy(io.Discard, request.Body)
		if n == size {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	pool := upstream.New(upstream.Dependencies{})
	conn, err := pool.Get(t.Context(), detour.Endpoint{Address: listener.Addr().String()}, time.Minute, "id")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Discard()
	deadline := time.Now().Add(10 * time.Second)
	if err := conn.SendRequest(&upstream.Request{
		Method:  http.MethodPost,
		Target:  "/",
		Host:    "firm.example",
		Header:  http.Header{},
		Body:    make([]byte, size),
		HasBody: true,
		Attempt: newAttempt(),
	}, deadline); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(deadline)
	response, err := conn.ReadResponse(http.MethodPost, isOwn)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
}
