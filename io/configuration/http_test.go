package configuration_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"cactuswell/io/configuration"
	"cactuswell/io/logservice"
	standin "cactuswell/standin/logservice"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

// serve runs a host's duties on the real clock until the test ends, and serves
// its handler over HTTP/2 in cleartext.
func serve(t *testing.T, name string, store *standin.Store, peers configuration.StaticPeers) (
	*configuration.Configuration, configuration.Peer,
) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	timers := timer.New()
	config := configuration.New(configuration.Dependencies{
		Host:         name,
		Zone:         "alm-a",
		NewLogClient: func() logservice.Log { return store },
		Dial: configuration.Dialer(
			func(address string) string { return "http://" + address },
			func() *http.Client { return &http.Client{Transport: &http.Transport{Protocols: protocols}} },
		),
		Peers:  peers,
		Timers: timers,
		Logger: log.NewNopLogger(),
	})
	mux := http.NewServeMux()
	mux.Handle(config.Handler())
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = protocols
	server.Start()
	tree := supervisor.New(name, log.NewNopLogger())
	tree.Add(supervisor.Duty{Name: "timer", Run: timers.Run})
	for _, duty := range config.Duties() {
		tree.Add(duty)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = tree.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return config, configuration.Peer{
		Name:    name,
		Zone:    "alm-a",
		Address: server.Listener.Addr().String(),
	}
}

func awaitChange(config *configuration.Configuration, holds func() bool) {
	for {
		changed := config.Changed()
		if holds() {
			return
		}
		<-changed
	}
}

// TestPeersOverHTTP has a host whose log is down take state, and then a pushed
// or fetched record, from a peer over real connections.
func TestPeersOverHTTP(t *testing.T) {
	store := newStore(1)
	down := newStore(2)
	down.SetFaults(standin.Faults{Down: true})
	first, firstPeer := serve(t, "host-1", store, nil)
	outcome, err := first.PublishChange(t.Context(), "a", briefing(0, 500))
	if err != nil {
		t.Fatal(err)
	}
	second, _ := serve(t, "host-2", down, configuration.StaticPeers{firstPeer})
	awaitChange(second, func() bool {
		ready, _ := second.Ready()
		return ready
	})
	got, revision, _ := second.Profile("briefing")
	if revision != outcome.Revision || got.Target() != 500*time.Millisecond {
		t.Errorf("got %v at revision %d", got, revision)
	}
	outcome, err = first.PublishChange(t.Context(), "b", briefing(outcome.Revision, 600))
	if err != nil {
		t.Fatal(err)
	}
	awaitChange(second, func() bool { return second.NextOffset() > outcome.Offset })
	inForce := second.QueryInForce(t.Context(), outcome.Offset)
	if len(inForce.Applied) != 2 || len(inForce.Lagging) != 0 {
		t.Errorf("in force on %v, lagging %v", inForce.Applied, inForce.Lagging)
	}
}
