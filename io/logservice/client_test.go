package logservice_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
)

// TestRefusalWithInvalidHeadProvesNothing guards against records that count as not appended by the word of an invalid head.
func TestRefusalWithInvalidHeadProvesNothing(t *testing.T) {
	for fields, isRefusal := range map[string]bool{"": true, "X Odd: 1\r\n": false, "X-Odd : 1\r\n": false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 429 Too Many Requests\r\n"+fields+"Content-Length: 0\r\n\r\n")
			_ = conn.Close()
		}))
		_, err := logservice.New(server.URL, server.Client()).Append(t.Context(), record.Stream("s"), [][]byte{[]byte("r")})
		server.Close()
		var refused *logservice.RefusedError
		if err == nil || errors.As(err, &refused) != isRefusal {
			t.Errorf("%q: the error is %v", fields, err)
		}
	}
}
