package httpjson_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
