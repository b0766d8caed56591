package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"cactuswell/certificate"
	"cactuswell/certificate/certificatetest"
	"cactuswell/core/endpoint"
	"cactuswell/core/membership"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
	standinlog "cactuswell/standin/logservice"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

// testHost is a node with its duties and its peer listener on loopback.
type testHost struct {
	node    *Node
	server  *http.Server
	cancel  context.CancelFunc
	done    chan struct{}
	changed chan struct{}
	leaving chan endpoint.Key
	heads   chan membership.HeadAdvertised
}

func fastSettings(seeds ...string) membership.Settings {
	settings := membership.DefaultSettings()
	settings.Seeds = seeds
	settings.ProbePeriod = 50 * time.Millisecond
	settings.SuspicionTimeout = time.Hour
	settings.JoinPeriod = 20 * time.Millisecond
	return settings
}

func startHost(t testing.TB, name string, store logservice.Log, settings membership.Settings) *testHost {
	t.Helper()
	listener := listenLoopback(t)
	return startHostAt(t, listener, hostOptions{
		name:     name,
		address:  listener.Addr().String(),
		store:    store,
		settings: settings,
	})
}

func listenLoopback(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// hostOptions are the parameters of a test host.
type hostOptions struct {
	name string
	// address is the address that peers get.
	address  string
	store    logservice.Log
	settings membership.Settings
	tls      *tls.Config
}

func startHostAt(t testing.TB, listener net.Listener, options hostOptions) *testHost {
	t.Helper()
	timers := timer.New()
	h := &testHost{
		node: New(Dependencies{
			Self: membership.Member{
				Name:        options.name,
				Incarnation: 1,
				Address:     options.address,
				Zone:        "zone-" + options.name,
			},
			Settings: options.settings,
			Timers:   timers,
			Log:      options.store,
			Logger:   log.NewNopLogger(),
			Seed:     7,
			TLS:      options.tls,
		}),
		done:    make(chan struct{}),
		changed: make(chan struct{}, 64),
		leaving: make(chan endpoint.Key, 64),
		heads:   make(chan membership.HeadAdvertised, 1024),
	}
	h.subscribe()
	mux := http.NewServeMux()
	mux.Handle(h.node.Handler())
	h.server = h.node.Server(mux)
	go h.serve(h.node.Listener(listener))
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	tree := supervisor.New(options.name, log.NewNopLogger())
	tree.Add(supervisor.Duty{
		Name: "timer",
		Run:  timers.Run,
	})
	for _, duty := range h.node.Duties() {
		tree.Add(duty)
	}
	go func() {
		defer close(h.done)
		_ = tree.Run(ctx)
	}()
	t.Cleanup(h.stop)
	return h
}

func (h *testHost) serve(listener net.Listener) {
	if h.server.TLSConfig != nil {
		_ = h.server.ServeTLS(listener, "", "")
		return
	}
	_ = h.server.Serve(listener)
}

func (h *testHost) subscribe() {
	h.node.OnMembersChanged(func() {
		select {
		case h.changed <- struct{}{}:
		default:
		}
	})
	h.node.OnEndpointLeaving(func(key endpoint.Key) {
		h.leaving <- key
	})
	h.node.OnHeadAdvertised(func(head membership.HeadAdvertised) {
		select {
		case h.heads <- head:
		default:
		}
	})
}

// stop stops the host without a leave, as a crash does.
func (h *testHost) stop() {
	h.cancel()
	<-h.done
	_ = h.server.Close()
	h.node.Transport().Close()
}

// waitHosts waits until the host's view has the wanted number of hosts.
func (h *testHost) waitHosts(t *testing.T, want int) {
	t.Helper()
	for h.node.LiveCount() != want {
		<-h.changed
	}
}

func newEmptyLog() *standinlog.Store {
	return standinlog.New(time.Now, 1)
}

func TestHostsJoinBySeedsAndSpreadUpdates(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("hosts", func(t *testing.T) {
		store := newEmptyLog()
		store.SetFaults(standinlog.Faults{
			Down: true,
		})
		a := startHost(t, "a", store, fastSettings())
		b := startHost(t, "b", store, fastSettings(a.node.Self().Address))
		c := startHost(t, "c", store, fastSettings(a.node.Self().Address))
		hosts := []*testHost{a, b, c}
		for _, h := range hosts {
			h.waitHosts(t, 3)
		}
		if diff := cmp.Diff(a.node.Live(), c.node.Live()); diff != "" {
			t.Errorf("views differ (-a +c):\n%s", diff)
		}
		key := endpoint.Key{
			Name:        "engine-1",
			Incarnation: 4,
		}
		b.node.AnnounceEndpointLeaving(key)
		b.node.AnnounceEndpointLeaving(key)
		for _, h := range hosts {
			if got := <-h.leaving; got != key {
				t.Errorf("%s learned of %v", h.node.Self().Name, got)
			}
		}
		c.node.SetHead(record.StreamConfiguration, 42)
		for head := range a.heads {
			if head.Name == "c" && head.NextOffset == 42 {
				break
			}
		}
	})
}

func TestHostsJoinByAnnouncementsAndLeave(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("hosts", func(t *testing.T) {
		store := newEmptyLog()
		a := startHost(t, "a", store, fastSettings())
		b := startHost(t, "b", store, fastSettings())
		c := startHost(t, "c", store, fastSettings())
		for _, h := range []*testHost{a, b, c} {
			h.waitHosts(t, 3)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := c.node.Leave(ctx); err != nil {
			t.Fatal(err)
		}
		a.waitHosts(t, 2)
		b.waitHosts(t, 2)
		c.stop()
		dump, err := a.node.Dump(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if dump.Membership.Counters.MembersLeft != 1 || dump.Membership.Counters.MembersDead != 0 {
			t.Errorf("counters after a graceful leave: %+v", dump.Membership.Counters)
		}
		if dump.Counters.BytesSent == 0 || dump.Counters.BytesReceived == 0 {
			t.Errorf("no bytes counted: %+v", dump.Counters)
		}
	})
}

func TestCrashedHostIsRemoved(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("hosts", func(t *testing.T) {
		store := newEmptyLog()
		settings := fastSettings()
		settings.SuspicionTimeout = 200 * time.Millisecond
		a := startHost(t, "a", store, settings)
		settings.Seeds = []string{a.node.Self().Address}
		b := startHost(t, "b", store, settings)
		c := startHost(t, "c", store, settings)
		for _, h := range []*testHost{a, b, c} {
			h.waitHosts(t, 3)
		}
		c.stop()
		a.waitHosts(t, 2)
		b.waitHosts(t, 2)
	})
}

func TestHostsJoinOverTLS(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("hosts", func(t *testing.T) {
		authority := certificatetest.New(t)
		store := newEmptyLog()
		var hosts []*testHost
		settings := fastSettings()
		for _, name := range []string{"a", "b"} {
			certificates, err := certificate.New(authority.Issue(t, name), timer.New(), log.NewNopLogger())
			if err != nil {
				t.Fatal(err)
			}
			listener := listenLoopback(t)
			hosts = append(hosts, startHostAt(t, listener, hostOptions{
				name:     name,
				address:  listener.Addr().String(),
				store:    store,
				settings: settings,
				tls:      certificates.MutualTLSConfig(),
			}))
			settings.Seeds = []string{listener.Addr().String()}
		}
		for _, h := range hosts {
			h.waitHosts(t, 2)
		}
	})
}

// TestSilentConnectionIsRedialed guards against the removal of a live host when
// the open connections to it go silent while new ones work.
func TestSilentConnectionIsRedialed(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("hosts", func(t *testing.T) {
		store := newEmptyLog()
		settings := fastSettings()
		a := startHost(t, "a", store, settings)
		listener := listenLoopback(t)
		proxy := newSilencingProxy(t, listener.Addr().String())
		settings.Seeds = []string{a.node.Self().Address}
		b := startHostAt(t, listener, hostOptions{
			name:     "b",
			address:  proxy.address(),
			store:    store,
			settings: settings,
		})
		a.waitHosts(t, 2)
		b.node.SetHead(record.StreamConfiguration, 1)
		for proxy.connectionCount() == 0 {
			<-a.heads
		}
		dials := a.node.Counters().Dials
		proxy.silence()
		for a.node.Counters().PeersRetired == 0 || a.node.Counters().Dials <= dials {
			<-a.heads
		}
		if a.node.LiveCount() != 2 {
			t.Errorf("%d hosts after the connection went silent", a.node.LiveCount())
		}
	})
}
