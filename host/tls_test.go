package host_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"cactuswell/certificate/certificatetest"
	"cactuswell/host"
	"cactuswell/settings"
	"cactuswell/standin/hostlist"
	"cactuswell/standin/logservice"
)

// startTLSHost runs a host with certificates issued by the authority.
func startTLSHost(t *testing.T, authority *certificatetest.Authority) *host.Host {
	t.Helper()
	return startTLSHostWith(t, authority, func(*settings.Settings) {})
}

func startTLSHostWith(t *testing.T, authority *certificatetest.Authority, change func(*settings.Settings)) *host.Host {
	t.Helper()
	logServer := httptest.NewServer(logservice.New(time.Now, 1).Handler())
	t.Cleanup(logServer.Close)
	listServer := httptest.NewServer(hostlist.New().Handler())
	t.Cleanup(listServer.Close)
	files := authority.Issue(t, "host-1")
	s := settings.Defaults()
	s.Name = "host-1"
	s.Zone = "alm-a"
	s.CallerListen = "127.0.0.1:0"
	s.PeerListen = "127.0.0.1:0"
	s.OperatorListen = "127.0.0.1:0"
	s.LogURL = logServer.URL
	s.HostListURL = listServer.URL
	s.TLSCert = files.Cert
	s.TLSKey = files.Key
	s.TLSCA = files.CA
	s.BalancerLag = 0
	change(&s)
	h, err := host.New(host.Dependencies{
		Settings: s,
		Logger:   log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx, context.Background()) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return h
}

func TestListenerAccess(t *testing.T) {
	authority := certificatetest.New(t)
	h := startTLSHost(t, authority)
	operatorFiles := authority.Issue(t, "operator")
	operatorCertificate, err := tls.LoadX509KeyPair(operatorFiles.Cert, operatorFiles.Key)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name            string
		address         string
		path            string
		scheme          string
		withCertificate bool
		answers         bool
	}{
		{name: "callers need no certificate", address: h.CallerAddress(), path: "/healthz", scheme: "https", answers: true},
		{name: "operators with a certificate", address: h.OperatorAddress(), path: "/debug/vars", scheme: "https", withCertificate: true, answers: true},
		{name: "operators without a certificate", address: h.OperatorAddress(), path: "/debug/vars", scheme: "https"},
		{name: "peers without a certificate", address: h.PeerAddress(), path: "/", scheme: "https"},
		{name: "operator path on the callers' listener", address: h.CallerAddress(), path: "/debug/vars", scheme: "https"},
		{name: "callers in cleartext", address: h.CallerAddress(), path: "/healthz", scheme: "http"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := &tls.Config{InsecureSkipVerify: true}
			if test.withCertificate {
				config.Certificates = []tls.Certificate{operatorCertificate}
			}
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
			defer client.CloseIdleConnections()
			response, err := client.Get(test.scheme + "://" + test.address + test.path)
			if err == nil {
				_ = response.Body.Close()
			}
			answered := err == nil && response.StatusCode == http.StatusOK
			if answered != test.answers {
				t.Errorf("answered = %v (%v), want %v", answered, err, test.answers)
			}
		})
	}
}
