package httpbody_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cactuswell/io/httpbody"
	"cactuswell/standin/endless"
)

// TestHandlerOutlivesDeadline guards against a request that is canceled because the time
// in which its body had to arrive passes while the handler works.
func TestHandlerOutlivesDeadline(t *testing.T) {
	const timeout = 50 * time.Millisecond
	server := httptest.NewServer(httpbody.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		select {
		case <-r.Context().Done():
			t.Error("the request was canceled")
		case <-time.After(4 * timeout):
		}
		w.WriteHeader(http.StatusNoContent)
	}), timeout))
	t.Cleanup(server.Close)
	response, err := http.Post(server.URL, "text/plain", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	response, err = http.Post(server.URL, "text/plain", io.MultiReader(io.LimitReader(zeros{}, 10)))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Errorf("status %d", response.StatusCode)
	}
}

// zeros is an endless reader of zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestTricklingBody guards against a body that arrives byte by byte and keeps the handler,
// or the response of a handler that does not read it, waiting without end.
func TestTricklingBody(t *testing.T) {
	for name, read := range map[string]bool{
		"read":   true,
		"unread": false,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(httpbody.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if read {
					if _, err := io.Copy(io.Discard, r.Body); err == nil {
						t.Error("the body was read to its end")
					}
				}
				w.WriteHeader(http.StatusBadRequest)
			}), 100*time.Millisecond))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			sent := make(chan error, 1)
			request := endless.Response{
				Beginning: "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
				Unit:      "1\r\nx\r\n",
			}
			go func() { sent <- request.Send(conn, endless.ByteByByte) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d", response.StatusCode)
			}
			_ = conn.Close()
			if err := <-sent; err == nil {
				t.Error("sending ended without an error")
			}
		})
	}
}
