package peer

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cactuswell/core/scheduling"
)

// bundledMessage returns an encoded message of a host with a number of loads.
func bundledMessage(i, loads int) []byte {
	message := testMessage(i)
	for n := range loads {
		message.Loads = append(message.Loads, scheduling.PeerLoad{
			Endpoint: uint64(n),
			Running:  1,
		})
	}
	return message.Append(nil)
}

// TestBundleRoundTrip checks that bundles hold all messages in order, within the size of a
// datagram, and that an earlier release, which reads one message of a datagram, gets the
// first.
func TestBundleRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var messages [][]byte
		for i := range rapid.IntRange(0, 20).Draw(t, "messages") {
			messages = append(messages, bundledMessage(i, rapid.IntRange(0, maxItems).Draw(t, "loads")))
		}
		var got [][]byte
		for _, datagram := range bundle(messages) {
			if len(datagram) > maxDatagram {
				t.Fatalf("a datagram of %d bytes", len(datagram))
			}
			first, err := Decode(datagram)
			if err != nil || first.Host != fmt.Sprintf("host-%d", len(got)) {
				t.Fatalf("the first message is of %s, error %v", first.Host, err)
			}
			unbundle(datagram, func(_ *Message, encoded []byte) { got = append(got, slices.Clone(encoded)) })
		}
		if !slices.EqualFunc(got, messages, bytes.Equal) {
			t.Fatalf("%d messages of %d", len(got), len(messages))
		}
	})
}

// TestMalformedBundle checks that a bundle that was cut, or whose sizes are wrong, gives the
// messages before the damage only.
func TestMalformedBundle(t *testing.T) {
	first, second := bundledMessage(1, 0), bundledMessage(2, 0)
	whole := bundle([][]byte{first, second})[0]
	for name, test := range map[string]struct {
		datagram []byte
		want     int
	}{
		"whole":            {datagram: whole, want: 2},
		"cut":              {datagram: whole[:len(whole)-1], want: 1},
		"empty":            {datagram: nil},
		"other mark":       {datagram: append(slices.Clone(first), 9, 9, 9), want: 1},
		"size too large":   {datagram: append(slices.Clone(first), bundleMark, 200, formatVersion), want: 1},
		"size without end": {datagram: append(slices.Clone(first), append([]byte{bundleMark}, bytes.Repeat([]byte{0xff}, 20)...)...), want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			got := 0
			unbundle(test.datagram, func(*Message, []byte) { got++ })
			if got != test.want {
				t.Errorf("%d messages, want %d", got, test.want)
			}
		})
	}
}

// FuzzUnbundle checks that no datagram makes a host read beyond it.
func FuzzUnbundle(f *testing.F) {
	f.Add(bundle([][]byte{bundledMessage(1, 2), bundledMessage(2, 0)})[0])
	f.Fuzz(func(t *testing.T, datagram []byte) {
		total := 0
		unbundle(datagram, func(_ *Message, encoded []byte) { total += len(encoded) })
		if total > len(datagram) {
			t.Errorf("%d bytes of %d", total, len(datagram))
		}
	})
}

// TestRelayBundlesForwards guards against a datagram to each host for each report of each
// other zone: with six zones a host got six in the time of one, and a relay of 400 hosts
// sent six times as many.
func TestRelayBundlesForwards(t *testing.T) {
	const hosts = 240
	m := newTestMesh(hosts)
	// The fastest link of its zone makes this host the relay.
	m.LinkMbps = 200
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	m.conn = conn
	now := m.Timers.Now()
	m.checkHosts(now)
	for i := 1; i < fleetZones; i++ {
		message := testMessage(i)
		message.Aggregate = true
		m.handleMessage(&message, message.Append(nil))
	}
	if sent := m.SentDatagrams(); sent != 0 {
		t.Errorf("%d datagrams were sent before the next report", sent)
	}
	m.relayZoneReport(now)
	const want = hosts/fleetZones + fleetZones - 1
	if sent := m.SentDatagrams(); sent != want {
		t.Errorf("%d datagrams, want one for each of the zone's hosts and for the relays of %d zones: %d", sent, fleetZones-1, want)
	}
	m.relayZoneReport(now)
	if sent := m.SentDatagrams(); sent != want {
		t.Error("the reports were forwarded twice")
	}
}
