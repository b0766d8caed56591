package peer

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/aggregate"
	"cactuswell/core/replica"
	"cactuswell/timer"
)

// discard is a Listener that ignores everything.
type discard struct{}

func (discard) HandleMessage(Message)                     {}
func (discard) HandleHostSilent(string)                   {}
func (discard) HandleHostRestarted(string, time.Duration) {}
func (discard) HandleSourceReplaced(string)               {}
func (discard) HandleCopyAhead(string)                    {}

// fleetZones is the number of zones of a test's fleet.
const fleetZones = 6

// newTestMesh returns a mesh without a socket and with the given number of other hosts in
// six zones, none of which has sent a message.
func newTestMesh(hosts int) *Mesh {
	m := &Mesh{
		Dependencies: Dependencies{
			Host:     "self",
			Zone:     "z0",
			Address:  testAddress(0),
			LinkMbps: 50,
			Listener: discard{},
			Timers:   timer.New(),
		},
		hosts:    make(map[string]*peerHost),
		zoneLoad: aggregate.New(),
		copies:   make(map[string]Copy),

		readAt:      make(map[string]time.Time),
		confirmedAt: make(map[string]time.Time),
	}
	for i := 1; i <= hosts; i++ {
		m.AddHost(testAddress(i), fmt.Sprintf("z%d", i%fleetZones), float64(10*(i%4)))
	}
	return m
}

func testAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250+1) }

func testMessage(i int) Message {
	return Message{
		Host:        fmt.Sprintf("host-%d", i),
		Zone:        fmt.Sprintf("z%d", i%fleetZones),
		Address:     testAddress(i),
		Incarnation: 1,
		LinkMbps:    float64(10 * (i % 4)),
	}
}

// receive records a message of a host.
func (m *Mesh) receive(message Message, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordSender(&message, now)
}

// searchRelay finds the relay of a zone among all hosts.
func (m *Mesh) searchRelay(zone string, now time.Time) *peerHost {
	var relay *peerHost
	for _, h := range m.hosts {
		if h.zone == zone && h.isCandidate(now) && (relay == nil || h.member.Compare(relay.member) < 0) {
			relay = h
		}
	}
	if zone == m.Zone && (relay == nil || m.self().Compare(relay.member) < 0) {
		return nil
	}
	return relay
}

// TestRankingFollowsHosts checks that relays and readers are always those that a search
// among all hosts gives, whatever happens to the hosts: a ranking that is kept for too
// long would have hosts report to a relay that has gone.
func TestRankingFollowsHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMesh(rapid.IntRange(0, 25).Draw(t, "hosts"))
		now := m.Timers.Now()
		steps := map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				i := rapid.IntRange(1, 40).Draw(t, "host")
				m.AddHost(testAddress(i), fmt.Sprintf("z%d", i%fleetZones), rapid.SampledFrom([]float64{0, 10, 200}).Draw(t, "link"))
			},
			"report": func(t *rapid.T) {
				message := testMessage(rapid.IntRange(1, 40).Draw(t, "host"))
				message.ShuttingDown = rapid.Bool().Draw(t, "stops")
				m.receive(message, now)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"check": func(*rapid.T) { m.checkHosts(now) },
			"": func(t *rapid.T) {
				var members []replica.Member
				for _, h := range m.hosts {
					if h.isCandidate(now) {
						members = append(members, h.member)
					}
				}
				for i := range fleetZones {
					zone := fmt.Sprintf("z%d", i)
					if got, want := m.relayOf(zone, now), m.searchRelay(zone, now); got != want {
						t.Fatalf("relay of %s is %v, want %v", zone, got, want)
					}
				}
				current := m.ranking(now)
				if got, want := current.reader, replica.ReaderOf(m.self(), members); got != want {
					t.Fatalf("reader %v, want %v", got, want)
				}
				if current.candidates != len(members) || len(current.byRank) != len(m.hosts) {
					t.Fatalf("%d candidates of %d hosts, want %d of %d", current.candidates, len(current.byRank), len(members), len(m.hosts))
				}
			},
		}
		t.Repeat(steps)
	})
}

// TestRankingIsKept guards against work for each host with each message and each check:
// the relay of each host's zone was searched among all hosts, which took a host of 195
// most of its time without calls, and would take one of 2,400 more than a processor.
func TestRankingIsKept(t *testing.T) {
	synctest.Test(t, testRankingIsKept)
}

func testRankingIsKept(t *testing.T) {
	const hosts = 2400
	m := newTestMesh(hosts)
	now := m.Timers.Now()
	m.checkHosts(now)
	before := m.rankingCount
	for i := 1; i <= hosts; i++ {
		// The first message of a host that the roster names changes nothing.
		m.receive(testMessage(i), now)
		m.IsRelay()
	}
	for round := range 100 {
		now = now.Add(10 * time.Millisecond)
		m.receive(testMessage(round+1), now)
		m.IsRelay()
		m.checkHosts(now)
		m.View("topic", replica.Unknown())
	}
	if computed := m.rankingCount - before; computed != 0 {
		t.Errorf("the ranking was computed %d times without a change", computed)
	}
}

// BenchmarkCheckHosts measures a check of all hosts, which runs four times a second.
func BenchmarkCheckHosts(b *testing.B) {
	for _, hosts := range []int{6, 90, 195, 2400} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			m := newTestMesh(hosts)
			now := m.Timers.Now()
			for i := 1; i <= hosts; i++ {
				m.receive(testMessage(i), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				m.checkHosts(now)
			}
		})
	}
}

// BenchmarkHandleMessage measures a datagram of another host, without decoding it.
func BenchmarkHandleMessage(b *testing.B) {
	for _, hosts := range []int{6, 90, 195, 2400} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			m := newTestMesh(hosts)
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			m.conn = conn
			now := m.Timers.Now()
			for i := 1; i <= hosts; i++ {
				m.receive(testMessage(i), now)
			}
			m.checkHosts(now)
			message := testMessage(1)
			b.ReportAllocs()
			for b.Loop() {
				m.handleMessage(&message, nil)
			}
		})
	}
}
