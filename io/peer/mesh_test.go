package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"cactuswell/core/scheduling"
	"cactuswell/io/peer"
	"cactuswell/timer"
)

// ear passes on what a mesh hears.
type ear struct {
	heard  chan peer.Message
	silent chan string
}

func (e ear) HandleMessage(message peer.Message) {
	select {
	case e.heard <- message:
	default:
	}
}

func (e ear) HandleHostSilent(host string) { e.silent <- host }
func (e ear) HandleSourceReplaced(string)  {}
func (e ear) HandleHostRestarted(host string, _ time.Duration) {
	e.silent <- "restarted " + host
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func startMesh(t *testing.T, name string, born int64) (*peer.Mesh, ear, string) {
	t.Helper()
	address := freeAddress(t)
	mesh, e, _ := startMeshAt(t, name, "z0", address, born)
	return mesh, e, address
}

// startMeshAt returns a mesh, what it hears, and a function that ends it.
func startMeshAt(t *testing.T, name, zone, address string, born int64) (*peer.Mesh, ear, func()) {
	t.Helper()
	e := ear{
		heard:  make(chan peer.Message, 100),
		silent: make(chan string, 10),
	}
	timers := timer.New()
	mesh, err := peer.New(peer.Dependencies{
		Host:        name,
		Zone:        zone,
		Incarnation: born,
		Address:     address,
		Listener:    e,
		Timers:      timers,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- timers.Run(ctx) }()
	go func() { done <- mesh.Run(ctx) }()
	end := sync.OnceFunc(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	t.Cleanup(end)
	return mesh, e, end
}

func TestHostsFindEachOther(t *testing.T) {
	first, firstEar, firstAddress := startMesh(t, "first", 1)
	second, secondEar, _ := startMesh(t, "second", 1)
	// Only the second knows the first; the first learns of it by being told.
	second.AddHost(firstAddress, "z0")
	second.Send(peer.Message{ConfigurationVersion: 4})
	if got := <-firstEar.heard; got.Host != "second" || got.ConfigurationVersion != 4 {
		t.Errorf("heard %+v", got)
	}
	first.Send(peer.Message{ConfigurationVersion: 9})
	if got := <-secondEar.heard; got.Host != "first" {
		t.Errorf("heard %+v", got)
	}
	if got := second.HostWithNewerConfiguration(4); got != firstAddress {
		t.Errorf("newer configuration at %q, want %q", got, firstAddress)
	}
	if got := second.HostWithNewerConfiguration(9); got != "" {
		t.Errorf("newer configuration at %q, want none", got)
	}
}

func TestSilentHostIsTold(t *testing.T) {
	_, e, address := startMesh(t, "first", 1)
	second, _, _ := startMesh(t, "second", 1)
	second.AddHost(address, "z0")
	second.Send(peer.Message{})
	<-e.heard
	select {
	case host := <-e.silent:
		if host != "second" {
			t.Errorf("%s is silent", host)
		}
	case <-time.After(10 * time.Second):
		t.Error("a silent host is not told")
	}
}

func TestRestartedHostIsTold(t *testing.T) {
	_, e, address := startMesh(t, "first", 1)
	own := freeAddress(t)
	for born := range int64(2) {
		second, _, end := startMeshAt(t, "second", "z0", own, born+1)
		second.AddHost(address, "z0")
		second.Send(peer.Message{})
		<-e.heard
		end()
	}
	if got := <-e.silent; got != "restarted second" {
		t.Errorf("told %q", got)
	}
}

// TestLargeFleetHearsOfAllThroughRelays checks that a host of a large fleet hears
// the sum of each zone.
func TestLargeFleetHearsOfAllThroughRelays(t *testing.T) {
	const hosts = 20
	meshes := make([]*peer.Mesh, hosts)
	ears := make([]ear, hosts)
	addresses := make([]string, hosts)
	zone := func(i int) string { return []string{"z0", "z1"}[i%2] }
	for i := range hosts {
		addresses[i] = freeAddress(t)
		meshes[i], ears[i], _ = startMeshAt(t, fmt.Sprintf("host-%d", i), zone(i), addresses[i], 1)
	}
	for i := range hosts {
		for j := range hosts {
			meshes[i].AddHost(addresses[j], zone(j))
		}
	}
	limit := time.After(20 * time.Second)
	sums := make(map[string]int)
	for sums["z0"] != hosts/2 || sums["z1"] != hosts/2 {
		for _, mesh := range meshes {
			mesh.Send(peer.Message{
				Complete: true,
				Load:     []scheduling.PeerLoad{{Endpoint: 7, Running: 1}},
			})
		}
		select {
		case message := <-ears[3].heard:
			if message.Aggregate && len(message.Load) == 1 {
				sums[message.Zone] = message.Load[0].Running
			}
		case <-limit:
			t.Fatalf("the sums are %v", sums)
		}
	}
}
