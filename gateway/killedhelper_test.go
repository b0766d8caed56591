package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	standin "cactuswell/standin/opaque"
)

// peerConns records the connections that a listener has accepted, and what was written to them.
type peerConns struct {
	net.Listener
	mu      sync.Mutex
	conns   []net.Conn
	written strings.Builder
}

func (c *peerConns) listen(inner net.Listener) net.Listener {
	c.Listener = inner
	return c
}

// Accept implements net.Listener.
func (c *peerConns) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return &peerConn{
		Conn:  conn,
		conns: c,
	}, nil
}

// hasWritten reports whether a text was written to one of the connections.
func (c *peerConns) hasWritten(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Contains(c.written.String(), text)
}

// end closes all connections as the kernel does for a process that was killed.
func (c *peerConns) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// peerConn is a connection of another host.
type peerConn struct {
	net.Conn
	conns *peerConns
}

// Write implements net.Conn.
func (c *peerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.written.Write(p[:n])
	return n, err
}

// TestKilledHelperEndsNoAnswer guards against half of an answer that is given to the caller as a
// complete one. The endpoint answers without a length, so that the end of its connection is the end
// of the answer, but the connection leads through another host, whose process is killed meanwhile.
func TestKilledHelperEndsNoAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		method, path string
		// isRepeated is set if the call may go to another endpoint or on there.
		isRepeated bool
	}{
		"atMostOnce":      {method: http.MethodPost, path: "/hold/1"},
		"safe":            {method: http.MethodGet, path: "/lookup/1", isRepeated: true},
		"stream":          {method: http.MethodPost, path: "/draft/stream"},
		"resumableStream": {method: http.MethodPost, path: "/summary/stream", isRepeated: true},
	} {
		t.Run(name, func(t *testing.T) {
			helper := &fixture{
				link:      newLink(t),
				peerConns: &peerConns{},
			}
			fleet := &partitionedFleet{hostFleet: newFleetBehind(t, newFixtureBehind(t, helper, 2), 2)}
			host := fleet.hosts[1]
			host.link.set(linkReset)
			eventually(t, "calls go through the other host", func() bool {
				return len(fleet.serve(host, 1)) == 0
			})
			body, bytes := "", len(standin.AnswerBody(nil))/2
			if test.method == http.MethodPost {
				body = strings.Repeat("x", 100)
			}
			want := string(standin.AnswerBody([]byte(body)))
			if strings.HasSuffix(test.path, "stream") {
				bytes = len(standin.StreamEvent(0))
				want = completeStream()
			}
			fleet.setBehaviour(firstThen(standin.StalledUnframedAnswer{Bytes: bytes}))
			request := host.request(test.method, test.path, []byte(body))
			request.Header.Set("X-Request-Id", "killed")
			done := make(chan reply)
			go func() { done <- host.do(request) }()
			eventually(t, "the helper has passed on a part of the answer", func() bool {
				return helper.peerConns.hasWritten("X-Request-Id: killed")
			})
			helper.peerConns.end()
			got := <-done
			if test.isRepeated {
				if got.status != http.StatusOK || got.broken || got.body != want {
					t.Errorf("the caller got status %d, broken %v, %q", got.status, got.broken, got.body)
				}
				return
			}
			if got.status == http.StatusOK && !got.broken {
				t.Errorf("the caller got %q as a complete answer", got.body)
			}
		})
	}
}
