package opaque

import (
	"net/http"

	"cactuswell/io/clientconns"
)

// unmarkedWriter writes a response over HTTP/1.0, of which nothing but the end of the connection marks
// the end unless it names its length. Until the response has ended, its connection is reset when it is
// closed, which the operating system also does if the process is killed.
type unmarkedWriter struct {
	http.ResponseWriter
	conn *clientconns.Conn
	// resets is set if the connection is reset when it is closed.
	resets bool
}

// newUnmarkedWriter returns a writer for the response to a request, and nil if its end will be marked.
func newUnmarkedWriter(w http.ResponseWriter, r *http.Request) *unmarkedWriter {
	conn := clientconns.FromContext(r.Context())
	if conn == nil || r.ProtoAtLeast(1, 1) {
		return nil
	}
	return &unmarkedWriter{
		ResponseWriter: w,
		conn:           conn,
	}
}

// WriteHeader implements http.ResponseWriter. A reset before it would be taken for a request that was not
// read.
func (w *unmarkedWriter) WriteHeader(status int) {
	if w.Header().Get("Content-Length") == "" {
		w.resets = true
		w.conn.ResetOnClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer that http.ResponseController uses.
func (w *unmarkedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// end ends the response, of which all has been written.
func (w *unmarkedWriter) end() {
	if !w.resets {
		return
	}
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	w.conn.CloseInOrder()
}
