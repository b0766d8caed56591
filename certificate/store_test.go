package certificate_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"

	"github.com/go-kit/log"

	"cactuswell/certificate"
	"cactuswell/certificate/certificatetest"
	"cactuswell/timer"
)

func newStore(t *testing.T, authority *certificatetest.Authority, name string) (*certificate.Store, certificate.Files) {
	t.Helper()
	files := authority.Issue(t, name)
	store, err := certificate.New(files, timer.New(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	return store, files
}

// handshake connects client to server over loopback and returns the errors of
// both ends.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		done <- tls.Server(conn, server).Handshake()
		_ = conn.Close()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	clientErr = tls.Client(conn, client).Handshake()
	if clientErr != nil {
		_ = conn.Close()
	}
	serverErr = <-done
	_ = conn.Close()
	return serverErr, clientErr
}

func TestMutualTrustsOnlyTheFleet(t *testing.T) {
	fleet := certificatetest.New(t)
	stranger := certificatetest.New(t)
	host, _ := newStore(t, fleet, "host-1")
	peer, _ := newStore(t, fleet, "host-2")
	other, _ := newStore(t, stranger, "host-2")
	for _, test := range []struct {
		name      string
		client    *tls.Config
		serverErr bool
	}{
		{name: "a peer of the fleet", client: peer.MutualTLSConfig()},
		{name: "a stranger's certificate", client: other.MutualTLSConfig(), serverErr: true},
		{name: "no certificate", client: &tls.Config{InsecureSkipVerify: true}, serverErr: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			serverErr, _ := handshake(t, host.MutualTLSConfig(), test.client)
			if (serverErr != nil) != test.serverErr {
				t.Errorf("server's error = %v, want an error: %v", serverErr, test.serverErr)
			}
		})
	}
	if _, clientErr := handshake(t, other.MutualTLSConfig(), peer.MutualTLSConfig()); clientErr == nil {
		t.Error("a client of the fleet trusted a stranger's server")
	}
	if serverErr, clientErr := handshake(t, host.PublicTLSConfig(), &tls.Config{InsecureSkipVerify: true}); serverErr != nil || clientErr != nil {
		t.Errorf("public listener: server %v, client %v", serverErr, clientErr)
	}
}

func TestReload(t *testing.T) {
	first := certificatetest.New(t)
	second := certificatetest.New(t)
	host, files := newStore(t, first, "host-1")
	peer, _ := newStore(t, second, "host-2")
	if serverErr, _ := handshake(t, host.MutualTLSConfig(), peer.MutualTLSConfig()); serverErr == nil {
		t.Fatal("the second CA was trusted before the change")
	}
	second.IssueInto(t, "host-1", files)
	host.Reload()
	if serverErr, clientErr := handshake(t, host.MutualTLSConfig(), peer.MutualTLSConfig()); serverErr != nil || clientErr != nil {
		t.Errorf("after the change: server %v, client %v", serverErr, clientErr)
	}
	if host.Reloads() != 1 {
		t.Errorf("reloads = %d, want 1", host.Reloads())
	}
	if err := os.WriteFile(files.Cert, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	host.Reload()
	if serverErr, clientErr := handshake(t, host.MutualTLSConfig(), peer.MutualTLSConfig()); serverErr != nil || clientErr != nil {
		t.Errorf("after a broken file: server %v, client %v", serverErr, clientErr)
	}
}
