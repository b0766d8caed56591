package host

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"

	"cactuswell/certificate"
	"cactuswell/certificate/certificatetest"
	"cactuswell/io/engine"
	"cactuswell/io/service"
	"cactuswell/io/splice"
)

// TestTornRefusalOverTLS guards against single-use connections with TLS on which a refusal that was torn in its field
// Connection and runs into the answer passes for a refusal of the attempt.
func TestTornRefusalOverTLS(t *testing.T) {
	const id = "call-1"
	idLine := engine.HeaderAttemptID + ": " + id + "\r\n"
	responses := map[string]string{
		"torn":  refusalMark + "Connection: cloHTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 2\r\nConnection: close\r\n\r\n{}",
		"whole": refusalMark + idLine + "Content-Length: 0\r\nConnection: close\r\n\r\n",
	}
	authority := certificatetest.New(t)
	files := authority.Issue(t, "server")
	own, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	store, err := certificate.New(authority.Issue(t, "host-1"), newTestTimers(t), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	clients := newClients(store)
	t.Cleanup(clients.close)
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(hijack(func(conn net.Conn) { _, _ = io.WriteString(conn, response) }))
			server.TLS = &tls.Config{
				Certificates: []tls.Certificate{own},
			}
			server.StartTLS()
			t.Cleanup(server.Close)
			_, err := clients.service.Call(context.Background(), service.Call{
				AttemptID:     id,
				BaseURL:       server.URL,
				Operation:     "hold",
				NewConnection: true,
			})
			var notStarted *engine.NotStartedError
			var spliced *splice.Error
			isTorn := name == "torn"
			if errors.As(err, &spliced) != isTorn || errors.As(err, &notStarted) == isTorn {
				t.Errorf("error %v", err)
			}
		})
	}
}

// hijack handles a request by taking over its connection.
type hijack func(conn net.Conn)

// ServeHTTP implements http.Handler.
func (h hijack) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	h(conn)
}
