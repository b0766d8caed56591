package claims

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cactuswell/core/claim"
)

// silentIssuer reads what a host sends, and ends the connection and its listener after a number of bytes.
func silentIssuer(t *testing.T, bytes int64, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = listener.Close()
		_, _ = io.CopyN(io.Discard, conn, bytes)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}()
	return "http://" + listener.Addr().String()
}

// TestForwardedCallOfStoppedIssuerIsUnknown guards against a promise for a call that was forwarded to an issuer
// which has stopped midway and refuses connections since.
func TestForwardedCallOfStoppedIssuerIsUnknown(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	refused := Decision(Refused{
		Reason:       claim.RefuseIssuerUnreachable,
		KeyUnchecked: true,
		RetryAfter:   time.Second,
	})
	for _, test := range []struct {
		name  string
		bytes int64
		reset bool
		want  Decision
	}{
		{name: "within the preface", bytes: 10, want: Unknown{Reason: claim.UnknownForwardUnanswered}},
		{name: "after the preface", bytes: 24, want: Unknown{Reason: claim.UnknownForwardUnanswered}},
		{name: "within the call", bytes: 150, want: Unknown{Reason: claim.UnknownForwardUnanswered}},
		{name: "within the call, reset", bytes: 150, reset: true, want: Unknown{Reason: claim.UnknownForwardUnanswered}},
		{name: "before the connection", want: refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			transport := &http.Transport{Protocols: protocols}
			defer transport.CloseIdleConnections()
			address := silentIssuer(t, test.bytes, test.reset)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if test.bytes == 0 {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				_ = listener.Close()
				address = "http://" + listener.Addr().String()
			}
			got := NewForwarder(&http.Client{Transport: transport}).Forward(ctx, address, testCall("key"))
			check(t, test.want, got)
		})
	}
}
