package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cactuswell/io/tcp"
	"cactuswell/io/upstream"
)

// TestBytesThatArrivedDuringPause guards against a process that was paused while an
// endpoint answered and takes the answer for silence, because the deadline has passed
// when it looks. A deadline that has just passed is kept, and trickling bytes do not
// extend the time after a pause.
func TestBytesThatArrivedDuringPause(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
	for name, test := range map[string]struct {
		// deadlineAgo is how long ago the deadline passed.
		deadlineAgo time.Duration
		response    string
		wantTimeout bool
	}{
		"paused":                        {deadlineAgo: time.Second, response: response},
		"not paused":                    {deadlineAgo: time.Millisecond, response: response, wantTimeout: true},
		"paused without a response":     {deadlineAgo: time.Second, wantTimeout: true},
		"paused, response not complete": {deadlineAgo: time.Second, response: response[:10], wantTimeout: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			pool := upstream.New()
			conn, err := pool.Get(context.Background(), listener.Addr().String(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(conn.Discard)
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
			if err := conn.SendRequest(request, time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(server, test.response); err != nil {
				t.Fatal(err)
			}
			conn.SetReadDeadline(time.Now().Add(-test.deadlineAgo))
			answer, err := conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true })
			if test.wantTimeout {
				if !tcp.IsTimeout(err) {
					t.Errorf("error %v, want a timeout", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "ab" {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
