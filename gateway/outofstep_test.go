package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactuswell/gateway"
	"cactuswell/standin/keyedlog"
)

// datagramLink is a host's link to the others for datagrams. While it is cut, none passes.
type datagramLink struct {
	net.PacketConn
	isCut atomic.Bool
}

func (l *datagramLink) listen(address string) (net.PacketConn, error) {
	var err error
	l.PacketConn, err = net.ListenPacket("udp", address)
	return l, err
}

// ReadFrom implements net.PacketConn.
func (l *datagramLink) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := l.PacketConn.ReadFrom(p)
		if err != nil || !l.isCut.Load() {
			return n, from, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (l *datagramLink) WriteTo(p []byte, to net.Addr) (int, error) {
	if l.isCut.Load() {
		return len(p), nil
	}
	return l.PacketConn.WriteTo(p, to)
}

// newStepFleet starts three hosts before engines of one version, and waits until the last one, whose link to the
// others can be cut, takes streams for settled.
func newStepFleet(t *testing.T) (f *releaseFleet, outOfStep *fixture) {
	t.Helper()
	f = &releaseFleet{versionFleet: &versionFleet{
		fixture: &fixture{
			t:    t,
			log:  keyedlog.New(),
			spec: testSpec(),
		},
		versions: make(map[string]string),
	}}
	for i := range f.spec.Routes {
		f.spec.Routes[i].Timeout = time.Second
	}
	f.publishConfiguration()
	for i := range 8 {
		f.addEndpoint(service, i)
		f.addEndpoint(models, i)
	}
	f.addHost()
	f.addHost()
	outOfStep = &fixture{
		t:         t,
		log:       f.log,
		spec:      f.spec,
		endpoints: f.endpoints,
		datagrams: &datagramLink{},
	}
	client := f.log.NewClient()
	outOfStep.startHost(testSettings("host-3"), client)
	f.hosts = append(f.hosts, outOfStep)
	f.clients = append(f.clients, client)
	f.awaitBase()
	n := 0
	eventually(t, "streams are settled", func() bool {
		n++
		id := fmt.Sprintf("settled-%d", n)
		outOfStep.do(f.streamRequest(outOfStep, id, "unknown"))
		outOfStep.awaitLine(`"event":"streamVersionFound"`, id)
		return outOfStep.hasLine(`"event":"streamVersionFound"`, id, `"source":"settled"`)
	})
	return f, outOfStep
}

// TestHostOutOfStepDoesNotMixVersions guards against a stream that goes on at another version at a host that has not heard of
// the version at which it began. The host has just been cut off from the others, and does not know it yet, while
// engines of a new version have joined and streams begin there through other hosts.
func TestHostOutOfStepDoesNotMixVersions(t *testing.T) {
	const wanted, tries = 4, 400
	for name, cut := range map[string]func(*releaseFleet, *fixture){
		"cut off before the release": func(f *releaseFleet, host *fixture) {
			host.datagrams.isCut.Store(true)
			f.clients[2].SetFault(keyedlog.RefusedTopic{Topic: endpointTopic})
		},
		"cut off from the store as well": func(f *releaseFleet, host *fixture) {
			host.datagrams.isCut.Store(true)
			f.clients[2].SetFault(keyedlog.Hang{})
		},
		"its reads of the endpoints fail": func(f *releaseFleet, _ *fixture) {
			f.clients[2].SetFault(keyedlog.RefusedTopic{Topic: endpointTopic})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, outOfStep := newStepFleet(t)
			cut(f, outOfStep)
			for i := 5; i < len(f.endpoints); i += 2 {
				f.publishVersion(i, false)
			}
			f.awaitLine(`"event":"endpointAppeared"`, `"version":"`+newVersion+`"`, `"endpoint":"`+models+`-7"`)
			resumed := 0
			for i := 0; i < tries && resumed < wanted; i++ {
				id := fmt.Sprintf("stream-%d", i)
				got := f.do(f.streamRequest(f.fixture, id, ""))
				if got.status != http.StatusOK || !f.lastRanAtNew(id) {
					<-time.After(10 * time.Millisecond)
					continue
				}
				resumed++
				got = outOfStep.do(f.streamRequest(outOfStep, "resumed-"+id, id))
				if got.status == http.StatusOK && !f.lastRanAtNew("resumed-"+id) {
					t.Errorf("%s began at the new version and goes on at the other one", id)
				}
			}
			if resumed < wanted {
				t.Errorf("%d streams began at the new version, want %d", resumed, wanted)
			}
		})
	}
}

// TestHostOutOfStepReadsBase guards against a stream without a record that goes on at an earlier base version: the host
// was out of step while the others changed the base, and still knows endpoints of the earlier one.
func TestHostOutOfStepReadsBase(t *testing.T) {
	f, outOfStep := newStepFleet(t)
	outOfStep.datagrams.isCut.Store(true)
	f.clients[2].SetFault(keyedlog.RefusedTopic{Topic: endpointTopic})
	eventually(t, "the host knows that it is out of step", func() bool {
		return outOfStep.metric(t, "cactuswell_in_step") == 0
	})
	f.log.Append(gateway.StreamTopic, "base/"+models, []byte("="+newVersion))
	got := outOfStep.do(f.streamRequest(outOfStep, "resumed", "unrecorded"))
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
}
