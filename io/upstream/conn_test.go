package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cactuswell/core/detour"
	"cactuswell/core/evidence"
	"cactuswell/io/upstream"
)

// openConn opens a connection and sends a request, which its other end has read.
func openConn(t *testing.T) (pool *upstream.Pool, conn *upstream.Conn, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	pool = upstream.New(upstream.Dependencies{})
	if conn, err = pool.Get(context.Background(), detour.Endpoint{Address: listener.Addr().String()}, time.Minute, "first"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Abort)
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	if err := conn.SendRequest(getRequest(), time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
		t.Fatal(err)
	}
	return pool, conn, server
}

func getRequest() *upstream.Request {
	return &upstream.Request{
		Method:  http.MethodGet,
		Target:  "/",
		Host:    "firm.example",
		Attempt: newAttempt(),
	}
}

// newAttempt returns an attempt that permits one request.
func newAttempt() *evidence.Attempt {
	return evidence.New(false).Begin(evidence.Place{EndpointID: "endpoint"})
}

// isOwn takes each response for the one to the request.
func isOwn(*http.Response) upstream.Relation { return upstream.Own }

// answerAll answers all requests of a connection.
func answerAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
			return
		}
	}
}

// readResponse reads the header of the response to the request.
func readResponse(t *testing.T, conn *upstream.Conn) *http.Response {
	t.Helper()
	response, err := conn.ReadResponse(http.MethodGet, isOwn)
	if err != nil {
		t.Fatal(err)
	}
	return response
}
