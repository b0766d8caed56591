// Package httpbody bounds the time in which the body of a request must arrive.
//
// # Usage
//
//	server := &http.Server{
//		Handler: httpbody.Handler(routes, 10*time.Second),
//	}
//
// While a body arrives on a connection that clientconns tracks, the connection may be evicted for
// others if it makes no progress.
//
// http.Server has only a timeout that also ends the handlers, and without one it reads a
// body that a handler has left unread for as long as it takes, before it sends the
// response.
package httpbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"cactuswell/io/clientconns"
)

// Handler returns a handler that fails the reading of bodies which have not arrived
// completely after the given time. A timeout of zero means no bound.
func Handler(next http.Handler, timeout time.Duration) http.Handler {
	if timeout <= 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
			// The server keeps its own reference to the body.
			r = r.WithContext(r.Context())
			r.Body = &body{
				ReadCloser: r.Body,
				controller: controller,
				conn:       beginBody(r),
			}
		}
		next.ServeHTTP(w, r)
	})
}

// beginBody begins the arrival of a body. It returns nil if the connection is not tracked or
// carries other requests as well.
func beginBody(r *http.Request) *clientconns.Conn {
	conn := clientconns.FromContext(r.Context())
	if conn == nil || r.ProtoMajor != 1 {
		return nil
	}
	conn.BeginBody()
	return conn
}

// body is a body with a read deadline.
type body struct {
	io.ReadCloser
	controller *http.ResponseController
	// conn is the connection on which the body arrives, or nil.
	conn *clientconns.Conn
}

// Read implements io.Reader. It removes the deadline at the end of the body: a deadline
// that passes later would cancel the request's context.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
		if conn := b.conn; conn != nil {
			b.conn = nil
			if !conn.EndBody() {
				return n, os.ErrDeadlineExceeded
			}
		}
	}
	return n, err
}
