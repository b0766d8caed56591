package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactuswell/io/tcp"
)

// TestBadHeadIsNotWaitedFor guards against a call that is held until its deadline by bytes that are no response, and
// against a reset that passes for a malformed response.
func TestBadHeadIsNotWaitedFor(t *testing.T) {
	for name, test := range map[string]struct {
		text    string
		isReset bool
	}{
		"no response":              {text: "garbage\r\n"},
		"another protocol":         {text: "SSH-2.0-OpenSSH\r\n"},
		"a bad field":              {text: "HTTP/1.1 200 OK\r\nbad field\r\n"},
		"nothing, and a reset":     {isReset: true},
		"half a head, and a reset": {text: "HTTP/1.1 200 OK\r\nX-Field: 1\r\n", isReset: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, conn, server := openConn(t)
			conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.WriteString(server, test.text)
			if test.isReset {
				_ = server.(*net.TCPConn).SetLinger(0)
				_ = server.Close()
			}
			_, err := conn.ReadResponse(http.MethodGet, isOwn)
			if err == nil || tcp.IsTimeout(err) || test.isReset != errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the error is %v", err)
			}
		})
	}
}

// TestLongHeadIsChecked guards against a torn header that is not found beyond the read buffer, and against a sound one
// that is taken for torn.
func TestLongHeadIsChecked(t *testing.T) {
	var fields strings.Builder
	for i := range 100 {
		fmt.Fprintf(&fields, "X-Field-%d: %s\r\n", i, strings.Repeat("x", 80))
	}
	for name, test := range map[string]struct {
		last string
		torn bool
	}{
		"whole": {last: "Connection: close\r\n"},
		"torn":  {last: "Connection: cloHTTP/1.1 200 OK\r\nConnection: close\r\n", torn: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, conn, server := openConn(t)
			_, _ = io.WriteString(server, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n"+fields.String()+test.last+"Content-Length: 0\r\n\r\n")
			if _, err := conn.ReadResponse(http.MethodGet, isOwn); (err != nil) != test.torn {
				t.Errorf("the error is %v", err)
			}
		})
	}
}
