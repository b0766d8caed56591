// Package peer lets the hosts of a fleet tell each other what they have given to
// which endpoint, so that hosts that share endpoints don't all pick the same
// one, and lets them pass the configuration on while the store turns some of
// them away.
//
// # Usage
//
//	mesh, err := peer.New(peer.Dependencies{
//		Host:     "host-1",
//		Zone:     "alm-a",
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
//
// In a small fleet each host tells each other. In a larger one, each tells the
// relay of its availability zone, which sums up and tells the hosts of its zone
// and the relays of the others. The relay is the live host that comes first in an
// order by hash, so that hosts agree on it without an election; while they don't,
// guesses are worse.
package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/aggregate"
	"cactuswell/ring"
	"cactuswell/timer"
)

const (
	// silentAfter is when a host that is not heard counts as gone: three
	// heartbeats and some delay.
	silentAfter = 1700 * time.Millisecond
	// HeartbeatInterval is the time between two messages of a host with all its work.
	HeartbeatInterval = 500 * time.Millisecond
	// forgetAfter is when a host that was never heard, or not for long, is no
	// longer told anything.
	forgetAfter = 30 * time.Second
	// checkEvery is the time between two looks for silent hosts.
	checkEvery = 250 * time.Millisecond
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 16 << 10
	// outgoing bounds the messages that wait to be sent; of too many, the newest
	// are dropped until there is room, as later ones replace them.
	outgoing = 64
)

// Listener learns of other hosts. Its methods must not block.
type Listener interface {
	// HandleMessage brings a message of another host, or of a zone's relay.
	HandleMessage(message Message)
	// HandleHostSilent says that a host is not heard any more.
	HandleHostSilent(host string)
	// HandleHostRestarted says that a host runs as a new process, and how long the one before
	// was not heard.
	HandleHostRestarted(host string, silentFor time.Duration)
	// HandleSourceReplaced says that the host's work is told by its zone's relay from now on,
	// or that of a zone by its hosts.
	HandleSourceReplaced(source string)
}

// Dependencies is what a mesh is made from.
type Dependencies struct {
	Host        string
	Zone        string
	Incarnation int64
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
	// large says that relays are in use, zone is what this host would tell as a
	// relay, and relayAt and fullAt when it did so last.
	large   bool
	zone    *aggregate.Zone
	relayAt time.Time
	fullAt  time.Time
	greetAt int
	newest  Message
}

// known is another host.
type known struct {
	host    string
	zone    string
	address string
	to      net.Addr
	order   uint64
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
		zone:         aggregate.New(),
	}, nil
}

// AddHost makes a host known by its address and zone, before it is heard. The zone
// may be empty if it is not known.
func (m *Mesh) AddHost(address, zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address != m.Address {
		m.add(address, zone)
	}
}

// add returns the host at an address, or nil if that is no address.
func (m *Mesh) add(address, zone string) *known {
	k, ok := m.hosts[address]
	if !ok {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil
		}
		k = &known{
			address: address,
			to:      net.UDPAddrFromAddrPort(parsed),
			order:   xxhash.Sum64String(address),
			addedAt: m.Timers.Now(),
		}
		m.hosts[address] = k
	}
	if zone != "" {
		k.zone = zone
	}
	return k
}

// Send tells the other hosts. It never blocks.
func (m *Mesh) Send(message Message) {
	message.Host = m.Host
	message.Zone = m.Zone
	message.Incarnation = m.Incarnation
	message.Address = m.Address
	m.out.TryPush(message)
}

// HostWithNewerConfiguration returns the address of a host that has a newer configuration in force,
// or nothing.
func (m *Mesh) HostWithNewerConfiguration(version int64) string {
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

// HostWithStore returns the address of a host which the store answers, or nothing.
func (m *Mesh) HostWithStore() string {
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
	received := make(chan struct{})
	go m.runReceive(received)
	defer func() {
		_ = m.conn.Close()
		<-received
	}()
	check := m.Timers.Every(checkEvery)
	defer check.Stop()
	relay := m.Timers.After(relayEvery)
	defer relay.Stop()
	armed := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.out.Ready():
			for message, ok := m.out.Pop(); ok; message, ok = m.out.Pop() {
				m.tell(&message)
			}
		case now := <-check.C():
			m.check(now)
		case now := <-relay.C():
			armed = false
			m.relay(now)
		}
		// A timer that is armed stays: messages would put it off for ever.
		if !armed && m.relayDue() {
			armed = true
			relay.Reset(m.Timers.Now().Add(relayEvery))
		}
	}
}

// tell sends a message of this host on its way.
func (m *Mesh) tell(message *Message) {
	now := m.Timers.Now()
	m.mu.Lock()
	m.newest = *message
	m.newest.Load, m.newest.Placements = nil, nil
	var to []net.Addr
	if !m.large {
		for _, k := range m.hosts {
			to = append(to, k.to)
		}
		m.mu.Unlock()
		m.write(message, to)
		return
	}
	relay := m.relayOf(m.Zone, now)
	if relay == nil {
		m.zone.RecordReport(now, m.Host, message.Complete, message.Load, message.Placements)
	} else {
		to = append(to, relay.to)
	}
	greetings := m.greetings(message.Complete)
	// A greeting tells of no work, so that it must not count as all of it.
	greeting := m.newest
	greeting.Complete = false
	m.mu.Unlock()
	m.write(message, to)
	m.write(&greeting, greetings)
}

// write sends a message. A datagram that cannot be sent is like one that is
// lost.
func (m *Mesh) write(message *Message, to []net.Addr) {
	if len(to) == 0 {
		return
	}
	bytes := message.Append(make([]byte, 0, 512))
	if len(bytes) > maxDatagram {
		return
	}
	m.writeBytes(bytes, to)
}

func (m *Mesh) writeBytes(bytes []byte, to []net.Addr) {
	for _, address := range to {
		_, _ = m.conn.WriteTo(bytes, address)
	}
}

// runReceive reads datagrams until the socket is closed.
func (m *Mesh) runReceive(done chan<- struct{}) {
	defer close(done)
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
		m.receive(&message, buffer[:n])
	}
}

// receive notes the sender and hands the message to whom it concerns.
func (m *Mesh) receive(message *Message, bytes []byte) {
	now := m.Timers.Now()
	m.mu.Lock()
	before, ok := m.hear(message, now)
	if !ok {
		m.mu.Unlock()
		return
	}
	if before.born != 0 && before.born != message.Incarnation {
		defer m.Listener.HandleHostRestarted(message.Host, now.Sub(before.heardAt))
	}
	if !m.large {
		m.mu.Unlock()
		if !message.Aggregate {
			m.Listener.HandleMessage(*message)
		}
		return
	}
	isRelay := m.relayOf(m.Zone, now) == nil
	var forward []net.Addr
	switch {
	case message.Aggregate && message.Zone != m.Zone && isRelay:
		forward = m.zoneHosts()
	case !message.Aggregate && message.Zone == m.Zone && isRelay && !message.ShuttingDown:
		m.zone.RecordReport(now, message.Host, message.Complete, message.Load, message.Placements)
	}
	m.mu.Unlock()
	m.writeBytes(bytes, forward)
	if message.Aggregate {
		m.Listener.HandleMessage(*message)
	}
}

// hear notes the sender and returns what was known of it. It reports false for a
// message of an earlier incarnation.
func (m *Mesh) hear(message *Message, now time.Time) (known, bool) {
	k := m.add(message.Address, message.Zone)
	if k == nil || message.Incarnation < k.born {
		return known{}, false
	}
	before := *k
	k.host = message.Host
	k.born = message.Incarnation
	k.heardAt = now
	k.alive = !message.ShuttingDown
	k.version = message.ConfigurationVersion
	k.storeLost = message.StoreUnavailable
	return before, true
}

// check finds the hosts that have fallen silent, and whether relays are needed.
func (m *Mesh) check(now time.Time) {
	var silent, replaced []string
	m.mu.Lock()
	round := time.Duration(len(m.hosts)/greeted+1) * HeartbeatInterval
	for address, k := range m.hosts {
		longest := silentAfter
		if m.large && m.relayOf(k.zone, now) != k {
			longest = max(longest, missedRounds*round)
		}
		if k.alive && now.Sub(k.heardAt) > longest {
			k.alive = false
			silent = append(silent, k.host)
		}
		if !k.alive && now.Sub(k.addedAt) > forgetAfter && now.Sub(k.heardAt) > forgetAfter {
			delete(m.hosts, address)
		}
	}
	if large := len(m.hosts) > smallFleet; large != m.large {
		m.large = large
		replaced = m.sources(!large)
	}
	m.mu.Unlock()
	for _, host := range silent {
		m.Listener.HandleHostSilent(host)
	}
	for _, source := range replaced {
		m.Listener.HandleSourceReplaced(source)
	}
}
