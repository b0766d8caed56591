package upstream_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"cactuswell/io/tcp"
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
			_, conn, server := openConn(t)
			if _, err := io.WriteString(server, test.response); err != nil {
				t.Fatal(err)
			}
			conn.SetReadDeadline(time.Now().Add(-test.deadlineAgo))
			answer, err := conn.ReadResponse(http.MethodGet, isOwn)
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

// TestDeadlineIsExtended guards against an answer that is lost although the wait for it was extended, against one that is awaited
// after the wait has ended, and against a short wait for other bytes that extends itself.
func TestDeadlineIsExtended(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
	for name, mostExtensions := range map[string]int{"extended": 3, "not extended": 1} {
		t.Run(name, func(t *testing.T) {
			_, conn, server := openConn(t)
			extensions := 0
			conn.SetExtensibleDeadline(time.Now().Add(-time.Millisecond), func() (time.Time, bool) {
				extensions++
				if extensions == 2 {
					if _, err := io.WriteString(server, response+"more"); err != nil {
						t.Error(err)
					}
				}
				return time.Now().Add(10 * time.Millisecond), extensions < mostExtensions
			})
			answer, err := conn.ReadResponse(http.MethodGet, isOwn)
			if mostExtensions == 1 {
				if !tcp.IsTimeout(err) || extensions != 1 {
					t.Errorf("error %v after %d extensions, want a timeout after 1", err, extensions)
				}
				return
			}
			if err != nil || extensions != 2 {
				t.Fatalf("error %v after %d extensions, want none after 2", err, extensions)
			}
			if conn.Drain(answer); extensions != 2 {
				t.Errorf("%d extensions while the rest was read", extensions)
			}
		})
	}
}
