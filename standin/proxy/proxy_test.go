package proxy_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"cactuswell/standin/proxy"
)

// connect returns a client's connection through a proxy and the target's end of it.
func connect(t *testing.T) (link *proxy.Proxy, client, target *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	link, err = proxy.New(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	conn, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	client, target = conn.(*net.TCPConn), accepted.(*net.TCPConn)
	exchange(t, client, target)
	exchange(t, target, client)
	return link, client, target
}

// exchange sends bytes from one end to the other.
func exchange(t *testing.T, from, to net.Conn) {
	t.Helper()
	if _, err := io.WriteString(from, "hello"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(to, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
}

// TestEndsAreToldApart checks that each way to end a connection arrives as it was sent.
func TestEndsAreToldApart(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	for _, c := range []struct {
		name      string
		end       func(link *proxy.Proxy, target *net.TCPConn)
		wantReset bool
	}{
		{"targetCloses", func(_ *proxy.Proxy, target *net.TCPConn) { _ = target.Close() }, false},
		{"targetClosesOneDirection", func(_ *proxy.Proxy, target *net.TCPConn) { _ = target.CloseWrite() }, false},
		{"targetResets", func(_ *proxy.Proxy, target *net.TCPConn) { reset(target) }, true},
		{"cut", func(link *proxy.Proxy, _ *net.TCPConn) { link.Cut() }, false},
		{"reset", func(link *proxy.Proxy, _ *net.TCPConn) { link.Reset() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			link, client, target := connect(t)
			c.end(link, target)
			_, err := client.Read(make([]byte, 1))
			if c.wantReset != errors.Is(err, syscall.ECONNRESET) || !c.wantReset && !errors.Is(err, io.EOF) {
				t.Errorf("the read ended with %v", err)
			}
		})
	}
}

// TestHeldBytesArriveOnceReleased checks that held bytes are neither lost nor passed on.
func TestHeldBytesArriveOnceReleased(t *testing.T) {
	link, client, target := connect(t)
	link.SetHeld(proxy.ToTarget, true)
	if _, err := io.WriteString(client, "later"); err != nil {
		t.Fatal(err)
	}
	exchange(t, target, client)
	link.SetHeld(proxy.ToTarget, false)
	got := make([]byte, 5)
	if _, err := io.ReadFull(target, got); err != nil || string(got) != "later" {
		t.Errorf("got %q, error %v", got, err)
	}
}
