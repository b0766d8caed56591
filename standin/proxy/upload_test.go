package proxy_test

import (
	"io"
	"net"
	"testing"

	"cactuswell/io/tcp"
	"cactuswell/standin/proxy"
)

// TestResetDuringUploadIsPassedOn guards against a proxy that ends a connection in order which its target has reset while the client
// was still sending: the client would take a part of a response for the whole one, which no network does.
func TestResetDuringUploadIsPassedOn(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"resets": func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
		"closes": func(conn *net.TCPConn) { _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			link, err := proxy.New(listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			for range 20 {
				conn, err := net.Dial("tcp", link.Address())
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = conn.Write(make([]byte, 3<<20)) }()
				target, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.CopyN(io.Discard, target, 20<<10)
				_, _ = io.WriteString(target, "part")
				end(target.(*net.TCPConn))
				if _, err := io.ReadAll(conn); err == nil {
					if transfer, err := tcp.InspectTransfer(conn); err != nil || !transfer.IsReset {
						t.Errorf("the connection ended in order: %+v, %v", transfer, err)
					}
				}
				_ = conn.Close()
			}
		})
	}
}
