package httpjson_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cactuswell/io/httpjson"
)

// TestLongResponseIsAnError guards against a response that is cut at the limit and passed
// on as if it were whole.
func TestLongResponseIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 10))
	}))
	t.Cleanup(server.Close)
	for limit, wantError := range map[int64]bool{9: true, 10: false} {
		_, err := httpjson.Fetch(t.Context(), server.Client(), http.MethodGet, server.URL, nil, limit)
		var tooLarge *httpjson.TooLargeError
		if errors.As(err, &tooLarge) != wantError {
			t.Errorf("limit %d: error %v", limit, err)
		}
	}
}

// TestRetryAfterOutOfRange guards against a delay that wraps and is taken for none, or for another one.
func TestRetryAfterOutOfRange(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":                    0,
		"3":                   3 * time.Second,
		"-1":                  0,
		"1e300":               0,
		"9223372037":          time.Hour,
		"9223372036854775807": time.Hour,
		"9223372036854775808": time.Hour,
	} {
		if got := httpjson.RetryAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}
