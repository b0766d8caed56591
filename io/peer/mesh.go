// Package peer lets the hosts of a fleet tell each other what they have given to
// which endpoint, so that hosts that share endpoints don't all pick the same
// one, and lets them pass the configuration on while the store turns some of
// them away.
//
// # Usage
//
//	mesh, err := peer.New(peer.Dependencies{
//		Host:     "host-1",
//		Address:  "10.1.0.40:7340",
//		Listener: listener,
//		...
//	})
//	tree.Add(supervisor.Duty{Name: "mesh", Run: mesh.Run})
//	mesh.Send(message)
//
// Hosts find each other through a roster in the store, where each enters itself
// at its start; a host that is heard is known from then on. Messages are
// datagrams that hold states, not changes of counts, so that a lost one is made
// good by the next. Nothing that must be right rests on them: they inform guesses
// of load, and which host to ask for a newer configuration.
package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"cactuswell/ring"
	"cactuswell/timer"
)

const (
	// silentAfter is when a host that is not heard counts as gone: three
	// heartbeats and some delay.
	silentAfter = 1700 * time.Millisecond
	// forgetAfter is when a host that was never heard, or not for long, is no
	// longer told anything.
	forgetAfter = 30 * time.Second
	// checkEvery is the time between two looks for silent hosts.
	checkEvery = 250 * time.Millisecond
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 16 << 10
	// outgoing bounds the messages that wait to be sent; the oldest of too many
	// are dropped, as the next one replaces them.
	outgoing = 64
	// fanOut bounds the hosts that are told of each change. In a larger fleet a
	// host sees a part of the others, and takes the rest to be alike.
	fanOut = 16
)

// Listener learns of other hosts. Its methods must not block.
type Listener interface {
	// Heard brings a message of another host.
	Heard(message Message)
	// Silent says that a host is not heard any more.
	Silent(host string)
}

// Dependencies is what a mesh is made from.
type Dependencies struct {
	Host string
	Born int64
	// Address is the IP and port of this host for others.
	Address  string
	Listener Listener
	Timers   *timer.Service
}

// Mesh exchanges messages with other hosts. It is safe for concurrent use.
type Mesh struct {
	Dependencies
	conn net.PacketConn
	out  *ring.Ring[Message]

	mu    sync.Mutex
	hosts map[string]*known
}

// known is another host.
type known struct {
	host    string
	address netip.AddrPort
	born    int64
	heardAt time.Time
	addedAt time.Time
	alive   bool
	// version and storeLost are what it last told of itself.
	version   int64
	storeLost bool
}

// New opens the mesh's socket. The error is that of the socket.
func New(dependencies Dependencies) (*Mesh, error) {
	conn, err := net.ListenPacket("udp", dependencies.Address)
	if err != nil {
		return nil, err
	}
	return &Mesh{
		Dependencies: dependencies,
		conn:         conn,
		out:          ring.New[Message](outgoing),
		hosts:        make(map[string]*known),
	}, nil
}

// Add makes a host known by its address, before it is heard.
func (m *Mesh) Add(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || address == m.Address {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.hosts[address]; ok {
		return
	}
	m.hosts[address] = &known{
		address: parsed,
		addedAt: m.Timers.Now(),
	}
}

// Send tells the other hosts. It never blocks.
func (m *Mesh) Send(message Message) {
	message.Host = m.Host
	message.Born = m.Born
	message.Address = m.Address
	m.out.TryPush(message)
}

// Newer returns the address of a host that has a newer configuration in force,
// or nothing.
func (m *Mesh) Newer(version int64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := ""
	for address, k := range m.hosts {
		if k.alive && k.version > version {
			best = address
			version = k.version
		}
	}
	return best
}

// Connected returns the address of a host which the store answers, or nothing.
func (m *Mesh) Connected() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, k := range m.hosts {
		if k.alive && !k.storeLost {
			return address
		}
	}
	return ""
}

// Run exchanges messages until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	go m.runReceive()
	tick := m.Timers.Every(checkEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.out.Ready():
			for message, ok := m.out.Pop(); ok; message, ok = m.out.Pop() {
				m.send(&message)
			}
		case now := <-tick.C():
			m.check(now)
		}
	}
}

// send writes a message to the hosts that are known. A datagram that cannot be
// sent is like one that is lost.
func (m *Mesh) send(message *Message) {
	bytes := message.Append(make([]byte, 0, 512))
	if len(bytes) > maxDatagram {
		return
	}
	for _, address := range m.audience() {
		_, _ = m.conn.WriteTo(bytes, net.UDPAddrFromAddrPort(address))
	}
}

// audience returns the hosts to be told.
func (m *Mesh) audience() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(m.hosts))
	for _, k := range m.hosts {
		if len(addresses) == fanOut {
			break
		}
		addresses = append(addresses, k.address)
	}
	return addresses
}

// runReceive reads datagrams until the socket is closed.
func (m *Mesh) runReceive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := m.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		message, err := Decode(buffer[:n])
		if err != nil || message.Host == m.Host {
			continue
		}
		if m.hear(&message) {
			m.Listener.Heard(message)
		}
	}
}

// hear notes the sender. It reports false for a message of an earlier
// incarnation.
func (m *Mesh) hear(message *Message) bool {
	address, err := netip.ParseAddrPort(message.Address)
	if err != nil {
		return false
	}
	now := m.Timers.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.hosts[message.Address]
	if !ok {
		k = &known{
			address: address,
			addedAt: now,
		}
		m.hosts[message.Address] = k
	}
	if message.Born < k.born {
		return false
	}
	k.host = message.Host
	k.born = message.Born
	k.heardAt = now
	k.alive = !message.Leaving
	k.version = message.Version
	k.storeLost = message.StoreLost
	return true
}

// check finds the hosts that have fallen silent.
func (m *Mesh) check(now time.Time) {
	var silent []string
	m.mu.Lock()
	for address, k := range m.hosts {
		if k.alive && now.Sub(k.heardAt) > silentAfter {
			k.alive = false
			silent = append(silent, k.host)
		}
		if !k.alive && now.Sub(k.addedAt) > forgetAfter && now.Sub(k.heardAt) > forgetAfter {
			delete(m.hosts, address)
		}
	}
	m.mu.Unlock()
	for _, host := range silent {
		m.Listener.Silent(host)
	}
}
