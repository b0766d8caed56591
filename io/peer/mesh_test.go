package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"cactuswell/core/scheduling"
	"cactuswell/io/peer"
	"cactuswell/timer"
)

// recorder is a peer.Listener that sends what it receives to channels.
type recorder struct {
	messages   chan peer.Message
	hostEvents chan string
	// duties holds the last announcement of a holder.
	duties chan peer.Duty
}

func (r recorder) HandleMessage(message peer.Message) {
	select {
	case r.messages <- message:
	default:
	}
}

func (r recorder) HandleHostSilent(host string) { r.hostEvents <- host }
func (r recorder) HandleSourceReplaced(string)  {}
func (r recorder) HandleCopyAhead(string)       {}
func (r recorder) HandleHostRestarted(host string, _ time.Duration) {
	r.hostEvents <- "restarted " + host
}

// freeAddress returns a loopback address whose UDP port was just free.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func startMesh(t *testing.T, name string, incarnation int64) (*peer.Mesh, recorder, string) {
	t.Helper()
	address := freeAddress(t)
	mesh, r, _ := startMeshAt(t, name, "z0", address, incarnation)
	return mesh, r, address
}

// startMeshAt starts a mesh and returns it with its listener and a function that
// stops it.
func startMeshAt(t *testing.T, name, zone, address string, incarnation int64) (*peer.Mesh, recorder, func()) {
	t.Helper()
	return startMeshWithLink(t, name, zone, address, incarnation, 0)
}

func startMeshWithLink(t *testing.T, name, zone, address string, incarnation int64, linkMbps float64) (*peer.Mesh, recorder, func()) {
	t.Helper()
	r := recorder{
		messages:   make(chan peer.Message, 100),
		hostEvents: make(chan string, 10),
		duties:     make(chan peer.Duty, 1),
	}
	timers := timer.New()
	mesh, err := peer.New(peer.Dependencies{
		Host:        name,
		Zone:        zone,
		Incarnation: incarnation,
		Address:     address,
		LinkMbps:    linkMbps,
		Listener:    r,
		HandleDuty:  r.handleDuty,
		Timers:      timers,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- timers.Run(ctx) }()
	go func() { done <- mesh.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	t.Cleanup(stop)
	return mesh, r, stop
}

func TestHostsDiscoverEachOther(t *testing.T) {
	first, firstRecorder, firstAddress := startMesh(t, "first", 1)
	second, secondRecorder, _ := startMesh(t, "second", 1)
	// The first host learns of the second only from the second's message.
	second.AddHost(firstAddress, "z0", 0)
	second.Send(peer.Message{ConfigurationVersion: 4})
	if got := <-firstRecorder.messages; got.Host != "second" || got.ConfigurationVersion != 4 {
		t.Errorf("received %+v", got)
	}
	first.Send(peer.Message{ConfigurationVersion: 9})
	if got := <-secondRecorder.messages; got.Host != "first" {
		t.Errorf("received %+v", got)
	}
	if got := second.HostWithNewerConfiguration(4); got != firstAddress {
		t.Errorf("newer configuration at %q, want %q", got, firstAddress)
	}
	if got := second.HostWithNewerConfiguration(9); got != "" {
		t.Errorf("newer configuration at %q, want none", got)
	}
}

func TestSilentHostIsReported(t *testing.T) {
	_, r, address := startMesh(t, "first", 1)
	second, _, _ := startMesh(t, "second", 1)
	second.AddHost(address, "z0", 0)
	second.Send(peer.Message{})
	<-r.messages
	select {
	case host := <-r.hostEvents:
		if host != "second" {
			t.Errorf("%s is reported as silent, want second", host)
		}
	case <-time.After(10 * time.Second):
		t.Error("the silent host was not reported within 10 s")
	}
}

// TestCutOffHostDoesNotHearMost guards against a host that trusts its view of the fleet although it
// is cut off from the others.
func TestCutOffHostDoesNotHearMost(t *testing.T) {
	first, _, address := startMesh(t, "first", 1)
	if !first.HearsMost() {
		t.Error("a host without others does not hear all")
	}
	var stops []func()
	for i := range 3 {
		other, _, stop := startMeshAt(t, fmt.Sprint("other-", i), "z0", freeAddress(t), 1)
		stops = append(stops, stop)
		other.AddHost(address, "z0", 0)
		other.Send(peer.Message{})
	}
	eventually(t, first.HearsMost)
	for _, stop := range stops {
		stop()
	}
	eventually(t, func() bool { return !first.HearsMost() })
}

// eventually waits until a condition holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatal("not within 10 s")
		}
		runtime.Gosched()
	}
}

func TestRestartedHostIsReported(t *testing.T) {
	_, r, address := startMesh(t, "first", 1)
	secondAddress := freeAddress(t)
	for i := range int64(2) {
		second, _, stop := startMeshAt(t, "second", "z0", secondAddress, i+1)
		second.AddHost(address, "z0", 0)
		second.Send(peer.Message{})
		<-r.messages
		stop()
	}
	if got := <-r.hostEvents; got != "restarted second" {
		t.Errorf("reported %q", got)
	}
}

// TestLargeFleetReceivesZoneSums checks that a host of a large fleet receives the
// summed load of each zone through the relays.
func TestLargeFleetReceivesZoneSums(t *testing.T) {
	const hosts = 20
	meshes := make([]*peer.Mesh, hosts)
	recorders := make([]recorder, hosts)
	addresses := make([]string, hosts)
	zone := func(i int) string { return []string{"z0", "z1"}[i%2] }
	for i := range hosts {
		addresses[i] = freeAddress(t)
		meshes[i], recorders[i], _ = startMeshAt(t, fmt.Sprintf("host-%d", i), zone(i), addresses[i], 1)
	}
	for i := range hosts {
		for j := range hosts {
			meshes[i].AddHost(addresses[j], zone(j), 0)
		}
	}
	timeout := time.After(20 * time.Second)
	sums := make(map[string]int)
	for sums["z0"] != hosts/2 || sums["z1"] != hosts/2 {
		for _, mesh := range meshes {
			mesh.Send(peer.Message{
				Complete: true,
				Loads:    []scheduling.PeerLoad{{Endpoint: 7, Running: 1}},
			})
		}
		select {
		case message := <-recorders[3].messages:
			if message.Aggregate && len(message.Loads) == 1 {
				sums[message.Zone] = message.Loads[0].Running
			}
		case <-timeout:
			t.Fatalf("zone sums after 20 s: %v", sums)
		}
	}
}

// TestRelaysHaveTheFastestLinks guards against relays on hosts whose links reports fill.
func TestRelaysHaveTheFastestLinks(t *testing.T) {
	const hosts = 24
	meshes := make([]*peer.Mesh, hosts)
	addresses := make([]string, hosts)
	zone := func(i int) string { return []string{"z0", "z1"}[i%2] }
	hasFastLink := func(i int) bool { return i == 7 || i == 8 }
	for i := range hosts {
		addresses[i] = freeAddress(t)
		link := 10.0
		if hasFastLink(i) {
			link = 200
		}
		meshes[i], _, _ = startMeshWithLink(t, fmt.Sprintf("host-%d", i), zone(i), addresses[i], 1, link)
	}
	for i := range hosts {
		for j := range hosts {
			meshes[i].AddHost(addresses[j], zone(j), 0)
		}
	}
	areRelaysRight := func() bool {
		for i, mesh := range meshes {
			if mesh.IsRelay() != hasFastLink(i) {
				return false
			}
		}
		return true
	}
	timeout := time.After(20 * time.Second)
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for !areRelaysRight() {
		for _, mesh := range meshes {
			mesh.Send(peer.Message{Complete: true})
		}
		select {
		case <-poll.C:
		case <-timeout:
			t.Fatal("after 20 s the relays are not the hosts with the fastest links")
		}
	}
}
