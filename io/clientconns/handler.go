package clientconns

import (
	"net/http"

	"cactuswell/core/clientbudget"
)

// WithoutBodies returns a handler for requests that need no body. The connection of a request
// with one is closed after the response, and may be evicted for others until then: the server would
// read the body first.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			if conn := FromContext(r.Context()); conn != nil {
				conn.setPhase(clientbudget.Header)
			}
		}
		next.ServeHTTP(w, r)
	})
}
