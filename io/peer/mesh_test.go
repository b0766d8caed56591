package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"cactuswell/io/peer"
	"cactuswell/timer"
)

// ear passes on what a mesh hears.
type ear struct {
	heard  chan peer.Message
	silent chan string
}

func (e ear) Heard(message peer.Message) {
	select {
	case e.heard <- message:
	default:
	}
}

func (e ear) Silent(host string) { e.silent <- host }
func (e ear) Replaced(string)    {}

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
	e := ear{
		heard:  make(chan peer.Message, 100),
		silent: make(chan string, 10),
	}
	timers := timer.New()
	address := freeAddress(t)
	mesh, err := peer.New(peer.Dependencies{
		Host:     name,
		Zone:     "z0",
		Born:     born,
		Address:  address,
		Listener: e,
		Timers:   timers,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- timers.Run(ctx) }()
	go func() { done <- mesh.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return mesh, e, address
}

func TestHostsFindEachOther(t *testing.T) {
	first, firstEar, firstAddress := startMesh(t, "first", 1)
	second, secondEar, _ := startMesh(t, "second", 1)
	// Only the second knows the first; the first learns of it by being told.
	second.Add(firstAddress, "z0")
	second.Send(peer.Message{Version: 4})
	if got := <-firstEar.heard; got.Host != "second" || got.Version != 4 {
		t.Errorf("heard %+v", got)
	}
	first.Send(peer.Message{Version: 9})
	if got := <-secondEar.heard; got.Host != "first" {
		t.Errorf("heard %+v", got)
	}
	if got := second.Newer(4); got != firstAddress {
		t.Errorf("newer configuration at %q, want %q", got, firstAddress)
	}
	if got := second.Newer(9); got != "" {
		t.Errorf("newer configuration at %q, want none", got)
	}
}

func TestSilentHostIsTold(t *testing.T) {
	_, e, address := startMesh(t, "first", 1)
	second, _, _ := startMesh(t, "second", 1)
	second.Add(address, "z0")
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
