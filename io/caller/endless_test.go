package caller_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cactuswell/io/caller"
	"cactuswell/standin/endless"
)

// acceptingBackend is a backend of which only Accepting is called.
type acceptingBackend struct {
	caller.Backend
}

func (acceptingBackend) Accepting() (bool, string) { return true, "" }

// TestEndlessBody guards against a body that arrives byte by byte and keeps the response
// back without end: the HTTP server reads a body that the handler does not need, or has
// given up, before it sends the response.
func TestEndlessBody(t *testing.T) {
	server := httptest.NewServer(caller.New(acceptingBackend{}, caller.Limits{
		MaxBodyBytes: 1 << 20,
		BodyTimeout:  200 * time.Millisecond,
	}).Handler())
	t.Cleanup(server.Close)
	const framing = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		beginning string
		status    int
	}{
		"unknown path":     {beginning: "POST /other HTTP/1.1\r\n" + framing, status: http.StatusNotFound},
		"malformed header": {beginning: "POST /v1/chat/completions HTTP/1.1\r\n" + caller.HeaderRequestID + ": a b\r\n" + framing, status: http.StatusBadRequest},
		"chat":             {beginning: "POST /v1/chat/completions HTTP/1.1\r\n" + caller.HeaderRequestID + ": r-1\r\n" + framing, status: http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			sent := make(chan error, 1)
			request := endless.Response{
				Beginning: test.beginning,
				Unit:      "1\r\nx\r\n",
			}
			go func() { sent <- request.Send(conn, endless.ByteByByte) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != test.status {
				t.Errorf("status %d, want %d", response.StatusCode, test.status)
			}
			_ = conn.Close()
			if err := <-sent; err == nil {
				t.Error("sending ended without an error")
			}
		})
	}
}
