package host_test

import (
	"crypto/tls"
	"net/http"
	"testing"

	"cactuswell/certificate/certificatetest"
	"cactuswell/settings"
	"cactuswell/standin/crowd"
)

// TestCrowdAtCallersListener guards against clients that hold all connections of a host: callers over
// HTTP/1.1 and HTTP/2 must be served beside them, on a connection that is kept and on new ones.
func TestCrowdAtCallersListener(t *testing.T) {
	for name, protocol := range map[string]int{"HTTP/1.1": 1, "HTTP/2": 2} {
		t.Run(name, func(t *testing.T) {
			h := startTLSHostWith(t, certificatetest.New(t), func(s *settings.Settings) { s.MaxFDs = 500 })
			newClient := func() *http.Client {
				return &http.Client{Transport: &http.Transport{
					TLSClientConfig:   &tls.Config{InsecureSkipVerify: true},
					ForceAttemptHTTP2: protocol == 2,
				}}
			}
			kept := newClient()
			defer kept.CloseIdleConnections()
			get := func(client *http.Client) {
				t.Helper()
				response, err := client.Get("https://" + h.CallerAddress() + "/healthz")
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK || response.ProtoMajor != protocol {
					t.Errorf("status %d over %s", response.StatusCode, response.Proto)
				}
			}
			get(kept)
			// The host accepts 125 connections.
			for _, kind := range []crowd.Kind{crowd.Silent, crowd.StoppedHeader} {
				defer crowd.Start(crowd.Settings{
					Address: h.CallerAddress(),
					Path:    "/healthz",
					Kind:    kind,
					Clients: 150,
				}).Close()
			}
			for range 20 {
				get(kept)
				client := newClient()
				get(client)
				client.CloseIdleConnections()
			}
		})
	}
}
