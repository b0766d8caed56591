package gateway_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// linkState is how the link between a host and the endpoints behaves.
type linkState int

const (
	linkOpen linkState = iota
	// linkSilent lets no byte and no new connection pass.
	linkSilent
	// linkReset resets the open connections and refuses new ones.
	linkReset
	// linkKept lets open connections go on and refuses new ones.
	linkKept
	// linkKeptSilent lets open connections go on, and no new one pass.
	linkKeptSilent
)

// link is the link between a host and the endpoints. Its connections lead through a socket
// pair of its own.
type link struct {
	t        testing.TB
	listener net.Listener

	mu      sync.Mutex
	state   linkState
	changed chan struct{}
	conns   []net.Conn
}

func newLink(t testing.TB) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{
		t:        t,
		listener: listener,
		changed:  make(chan struct{}),
	}
	t.Cleanup(func() {
		l.set(linkReset)
		_ = listener.Close()
	})
	return l
}

// set changes the state of the link.
func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state != linkReset {
		return
	}
	for _, conn := range l.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	l.conns = nil
}

// accept returns the other end of a connection to the listener. A connection whose dialer has
// given up may wait before it.
func (l *link) accept(host net.Conn) (net.Conn, error) {
	for {
		inner, err := l.listener.Accept()
		if err != nil || inner.RemoteAddr().String() == host.LocalAddr().String() {
			return inner, err
		}
		_ = inner.Close()
	}
}

func (l *link) current() (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// dial connects to an endpoint.
func (l *link) dial(ctx context.Context, address string) (net.Conn, error) {
	state, _ := l.current()
	switch state {
	case linkSilent, linkKeptSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case linkReset, linkKept:
		return nil, &net.OpError{
			Op:  "dial",
			Err: syscall.ECONNREFUSED,
		}
	}
	var dialer net.Dialer
	endpoint, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	host, err := dialer.DialContext(ctx, "tcp", l.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	inner, err := l.accept(host)
	if err != nil {
		return nil, err
	}
	l.conns = append(l.conns, endpoint, inner)
	go l.runCopy(endpoint, inner)
	go l.runCopy(inner, endpoint)
	return host, nil
}

// runCopy copies bytes while the link lets them pass.
func (l *link) runCopy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		for state, changed := l.current(); state == linkSilent; state, changed = l.current() {
			<-changed
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// TestLinkKeepsConnectionsApart guards against a link that joins connections with each other's
// endpoints after the dialer of one has given up.
func TestLinkKeepsConnectionsApart(t *testing.T) {
	l := newLink(t)
	abandoned, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = abandoned.Close()
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		host, err := l.dial(t.Context(), listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		endpoint, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := host.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(endpoint, "x"); err != nil {
			t.Error(err)
		}
		if _, err := io.ReadFull(host, make([]byte, 1)); err != nil {
			t.Error(err)
		}
		_ = errors.Join(host.Close(), endpoint.Close(), listener.Close())
	}
}
