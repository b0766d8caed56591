// Package peer exchanges reports between the hosts of a fleet. Each host reports
// the load that it has put on each endpoint, so that hosts that share endpoints
// don't all choose the same one. Reports also help hosts to get the configuration
// from each other while the store rejects some of them.
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
// Hosts discover each other through a roster in the store, in which each registers
// itself when it starts, and through the messages that they receive. Messages are
// datagrams that hold absolute values, not increments, so that the next one
// replaces one that was dropped; placements are listed in several of them.
// Correctness does not depend on them: they only improve load estimates and the
// choice of the host from which a newer configuration is requested.
//
// In a small fleet each host sends its messages to all others. In a larger one, it
// sends them to the relay of its availability zone, which sums them up and sends
// the sums to the hosts of its zone and to the relays of the other zones. The relay
// is the live host with the fastest network link, or among equals the one whose address
// has the lowest hash, so that hosts agree on it without an election. While they
// disagree, load estimates are less accurate. A relay sends the sums of its zone and of the
// others to its hosts together, and less often if they would take more than a share of its
// link.
package peer

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/aggregate"
	"cactuswell/core/replica"
	"cactuswell/ring"
	"cactuswell/timer"
)

const (
	// silenceTimeout is the time without a message after which a host is considered
	// unavailable: three heartbeats and some network delay.
	silenceTimeout = 1700 * time.Millisecond
	// HeartbeatInterval is the interval between complete reports of a host.
	HeartbeatInterval = 500 * time.Millisecond
	// removalTimeout is the time without a message, since it was added or last
	// heard from, after which a host is removed.
	removalTimeout = 30 * time.Second
	// checkInterval is the time between two checks for silent hosts.
	checkInterval = 250 * time.Millisecond
	// maxCheckDelay is the delay of a check beyond which the process counts as paused.
	maxCheckDelay = 250 * time.Millisecond
	// maxCatchUp is the time that a host has to get what another one has reported. It is longer than a
	// host waits for the others before it reads the store itself.
	maxCatchUp = 2 * HeartbeatInterval
	// MaxOutOfStep is the time for which a host may take itself for one that is in step with the
	// others although it lacks what they know: until they count as silent, or until it has been
	// behind twice in a row; and the heartbeats that tell it and its relay.
	MaxOutOfStep = silenceTimeout + 3*HeartbeatInterval
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 16 << 10
	// maxOutgoing bounds the queue of messages to be sent. While it is full, new
	// messages are dropped, as later ones replace them.
	maxOutgoing = 64
)

// Listener is notified of messages and of changes in the fleet. Its methods must
// not block.
type Listener interface {
	// HandleMessage handles a message from another host or from a zone's relay,
	// which may be this host.
	HandleMessage(message Message)
	// HandleHostSilent is called when a host has sent no message within the timeout.
	HandleHostSilent(host string)
	// HandleHostRestarted is called when a host has restarted. silentFor is the time
	// since the last message of its earlier incarnation.
	HandleHostRestarted(host string, silentFor time.Duration)
	// HandleSourceReplaced is called when a source no longer reports load: a host
	// whose load is reported by its zone's relay from now on, or a zone whose hosts
	// report their own. A source is a host, or a zone whose relay reports for it (see
	// ZoneSource).
	HandleSourceReplaced(source string)
	// HandleCopyAhead is called when a host has reported a copy of a topic that is ahead
	// of this host's.
	HandleCopyAhead(topic string)
}

// Dependencies holds what a Mesh needs.
type Dependencies struct {
	Host        string
	Zone        string
	Incarnation int64
	// Address is the IP and port at which other hosts reach this one.
	Address string
	// LinkMbps is the bandwidth of this host's network link in Mbit/s, or zero if it is
	// not known.
	LinkMbps float64
	// Listen opens the socket for datagrams at an address. If it is nil, it is a UDP socket.
	Listen   func(address string) (net.PacketConn, error)
	Listener Listener
	// HandleDuty is called with each announcement of a holder of the lease on the singleton
	// duties, unless it is nil. It must not block.
	HandleDuty func(Duty)
	Timers     *timer.Service
}

// Mesh exchanges messages with other hosts. It is safe for concurrent use.
type Mesh struct {
	Dependencies
	conn     net.PacketConn
	outgoing *ring.Ring[Message]
	// sentDatagrams and sentBytes count the datagrams sent and their size.
	sentDatagrams atomic.Int64
	sentBytes     atomic.Int64

	mu    sync.Mutex
	hosts map[string]*peerHost
	// lastHeardAt is when any other host was last heard from, and hasKnownOthers is set once
	// another host was known.
	lastHeardAt    time.Time
	hasKnownOthers bool
	// ahead holds, by topic, an end that another host has reported and that this host's copy has not
	// reached.
	ahead map[string]aheadEnd
	// checkedAt is when the hosts were last checked, and resumedAt when the last check came late, as
	// the process had been paused.
	checkedAt time.Time
	resumedAt time.Time
	// usesRelays is set while the fleet is large enough for relays. The fields after
	// it are used then: zoneLoad is what this host reports if it is the relay of its
	// zone, and lastRelayedAt and lastCompleteAt are the times of its last report
	// and of its last complete report.
	usesRelays     bool
	zoneLoad       *aggregate.Zone
	lastRelayedAt  time.Time
	lastCompleteAt time.Time
	relayPacer     pacer
	// forwards holds the reports of other zones that the zone's hosts have not got yet.
	forwards [][]byte
	// nextHello counts the hellos sent; modulo the number of other hosts it is the
	// position of the host that gets the next one.
	nextHello int
	// latest is this host's last message without load, placements, notices and demand.
	latest Message
	// copies are this host's copies by topic. copiesChanged is set while a relay has not
	// reported their last change.
	copies        map[string]Copy
	copiesChanged bool
	// readAt is when the store last answered a read of a topic by this host, and confirmedAt
	// when it last answered one by another host, as far as is known.
	readAt      map[string]time.Time
	confirmedAt map[string]time.Time
	// currentRanking is nil after a host has changed; rankingCount is the number of
	// rankings that were computed.
	currentRanking *ranking
	rankingCount   int
	// knowsFleet is set once the fleet's hosts have been added.
	knowsFleet bool
	// ownDuty is what this host announces of the singleton duties, and zoneDuty the last
	// announcement that this host, as a relay, has received from a host of its zone.
	ownDuty  *heardDuty
	zoneDuty *heardDuty
	// copyChange is signaled when a change of a copy, or of the announcement, is to be sent at
	// once.
	copyChange chan struct{}
}

// peerHost is another host.
type peerHost struct {
	name       string
	zone       string
	address    string
	udpAddress net.Addr
	// member is the host as candidate for a relay and a reader.
	member      replica.Member
	incarnation int64
	lastHeardAt time.Time
	addedAt     time.Time
	alive       bool
	// configurationVersion and storeUnavailable are from its last message.
	configurationVersion int64
	storeUnavailable     bool
	copies               map[string]Copy
}

// New returns a Mesh with an open socket. The error is that of opening it.
func New(dependencies Dependencies) (*Mesh, error) {
	listen := dependencies.Listen
	if listen == nil {
		listen = listenUDP
	}
	conn, err := listen(dependencies.Address)
	if err != nil {
		return nil, err
	}
	return &Mesh{
		Dependencies: dependencies,
		conn:         conn,
		outgoing:     ring.New[Message](maxOutgoing),
		hosts:        make(map[string]*peerHost),
		zoneLoad:     aggregate.New(),
		relayPacer:   newPacer(dependencies.LinkMbps),
		copies:       make(map[string]Copy),
		readAt:       make(map[string]time.Time),
		confirmedAt:  make(map[string]time.Time),
		ahead:        make(map[string]aheadEnd),
		copyChange:   make(chan struct{}, 1),
	}, nil
}

func listenUDP(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }

// AddHost makes a host known by its address, its zone and the bandwidth of its link, so
// that it is sent messages before it has sent any. The zone may be empty, and the
// bandwidth zero, if they are not known.
func (m *Mesh) AddHost(address, zone string, linkMbps float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address != m.Address {
		m.addLocked(address, zone, linkMbps)
	}
}

// addLocked returns the host at an address and adds it if necessary. It returns
// nil if the address is invalid. The caller must hold m.mu.
func (m *Mesh) addLocked(address, zone string, linkMbps float64) *peerHost {
	h, ok := m.hosts[address]
	if !ok {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil
		}
		h = &peerHost{
			address:    address,
			udpAddress: net.UDPAddrFromAddrPort(parsed),
			member:     newMember(address, "", 0),
			addedAt:    m.Timers.Now(),
			copies:     make(map[string]Copy),
		}
		m.hosts[address] = h
		m.hasKnownOthers = true
		m.currentRanking = nil
	}
	zone = cmp.Or(zone, h.zone)
	if linkMbps <= 0 {
		linkMbps = h.member.LinkMbps
	}
	if zone != h.zone || linkMbps != h.member.LinkMbps {
		h.zone = zone
		h.member = newMember(address, zone, linkMbps)
		m.currentRanking = nil
	}
	return h
}

// Send queues a message of this host to the others. It never blocks.
func (m *Mesh) Send(message Message) {
	m.setSender(&message)
	m.outgoing.TryPush(message)
}

// setSender sets the fields that tell which host sends a message.
func (m *Mesh) setSender(message *Message) {
	message.Host = m.Host
	message.Zone = m.Zone
	message.Incarnation = m.Incarnation
	message.Address = m.Address
	message.LinkMbps = m.LinkMbps
}

// HostWithNewerConfiguration returns the address of the live host with the newest
// configuration that is newer than the given version, or "" if there is none.
func (m *Mesh) HostWithNewerConfiguration(version int64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := ""
	for address, h := range m.hosts {
		if h.alive && h.configurationVersion > version {
			newest = address
			version = h.configurationVersion
		}
	}
	return newest
}

// PickHost returns the address of a live host for which isExcluded reports false, or "" if
// there is none. It picks a different one each time, so that the hosts share what is asked of them.
func (m *Mesh) PickHost(isExcluded func(address string) bool) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The order of a map's entries varies.
	for address, h := range m.hosts {
		if h.alive && !isExcluded(address) {
			return address
		}
	}
	return ""
}

// HearsMost reports whether at least half of the other hosts that are known count as live, and one
// has been heard from lately. A host that has never known others hears all. After a pause of the process,
// messages that were sent before it may be read after it, so that for as long as others count as
// live none is heard.
func (m *Mesh) HearsMost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hearsMost(m.Timers.Now())
}

func (m *Mesh) hearsMost(now time.Time) bool {
	if !m.hasKnownOthers {
		return true
	}
	if m.isLate(now) || now.Sub(m.resumedAt) < silenceTimeout {
		return false
	}
	return now.Sub(m.lastHeardAt) < silenceTimeout && len(m.hosts) > 0 && 2*m.ranking(now).candidates >= len(m.hosts)
}

// isLate reports whether the check of the hosts is overdue, as after a pause of the process.
func (m *Mesh) isLate(now time.Time) bool {
	return !m.checkedAt.IsZero() && now.Sub(m.checkedAt) > checkInterval+maxCheckDelay
}

// IsInStep reports whether this host hears most of the others, and its copy of the topic has reached
// what they have reported a while ago. Entries change all the time, so that some other copy is nearly
// always ahead by a moment.
func (m *Mesh) IsInStep(topic string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isInStep(m.Timers.Now(), topic)
}

func (m *Mesh) isInStep(now time.Time, topic string) bool {
	if !m.hearsMost(now) {
		return false
	}
	end, isBehind := m.ahead[topic]
	return !isBehind || now.Sub(end.heardAt) < maxCatchUp
}

// aheadEnd is the end of another host's copy, and when this host has heard of it.
type aheadEnd struct {
	end     replica.Position
	heardAt time.Time
}

// observeEnd records that another host has reported the end of its copy. The caller must hold m.mu.
func (m *Mesh) observeEnd(now time.Time, c Copy) {
	if _, isBehind := m.ahead[c.Topic]; !isBehind && c.End.After(m.copies[c.Topic].End) {
		m.ahead[c.Topic] = aheadEnd{
			end:     c.End,
			heardAt: now,
		}
	}
}

// reachEnd records that this host's copy has reached an end. The caller must hold m.mu.
func (m *Mesh) reachEnd(topic string, end replica.Position) {
	if !m.ahead[topic].end.After(end) {
		delete(m.ahead, topic)
	}
}

// SentDatagrams returns the number of datagrams sent.
func (m *Mesh) SentDatagrams() int64 { return m.sentDatagrams.Load() }

// SentBytes returns the size of all datagrams sent, in bytes.
func (m *Mesh) SentBytes() int64 { return m.sentBytes.Load() }

// Run exchanges messages until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	received := make(chan struct{})
	go m.runReceive(received)
	defer func() {
		_ = m.conn.Close()
		<-received
	}()
	check := m.Timers.Every(checkInterval)
	defer check.Stop()
	relay := m.Timers.After(relayInterval)
	defer relay.Stop()
	relayTimerRunning := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.outgoing.Ready():
			for message, ok := m.outgoing.Pop(); ok; message, ok = m.outgoing.Pop() {
				m.distribute(&message)
			}
		case <-m.copyChange:
			m.sendCopies()
		case now := <-check.C():
			m.checkHosts(now)
		case now := <-relay.C():
			relayTimerRunning = false
			m.relayZoneReport(now)
		}
		// A running timer is not reset: frequent messages would postpone it forever.
		if !relayTimerRunning && m.IsRelay() {
			relayTimerRunning = true
			relay.Reset(m.Timers.Now().Add(relayInterval))
		}
	}
}

// distribute sends a message of this host to all others or to its zone's relay. In
// a large fleet it also sends hellos if the message is a complete report; a hello is
// a message without load that only shows that its sender is alive.
func (m *Mesh) distribute(message *Message) {
	now := m.Timers.Now()
	m.mu.Lock()
	m.latest = *message
	m.latest.Loads, m.latest.Placements, m.latest.Notices, m.latest.Demands = nil, nil, nil, nil
	m.latest.Findings, m.latest.Limits, m.latest.CallDemands, m.latest.Speeds = nil, nil, nil, nil
	message.Copies = m.copyList(now)
	message.Duty = m.announcedDuty(now, false)
	var addresses []net.Addr
	if !m.usesRelays {
		for _, h := range m.hosts {
			addresses = append(addresses, h.udpAddress)
		}
		m.mu.Unlock()
		m.writeMessage(message, addresses)
		return
	}
	relay := m.relayOf(m.Zone, now)
	if relay == nil {
		m.zoneLoad.RecordReport(now, m.Host, message.Complete, message.Loads, message.Placements)
		m.zoneLoad.RecordNotices(now, message.Notices)
		m.zoneLoad.RecordDemands(m.Host, message.Demands)
		m.zoneLoad.RecordFindings(now, message.Findings)
		m.zoneLoad.RecordLimits(now, m.Host, message.Complete, message.Limits, message.CallDemands)
		m.zoneLoad.RecordSpeeds(now, message.Speeds)
	} else {
		addresses = append(addresses, relay.udpAddress)
	}
	helloAddresses := m.nextHelloAddresses(now, message.Complete)
	// A hello holds no load, so it must not be taken for a complete report.
	hello := m.latest
	hello.Complete = false
	hello.Copies = message.Copies
	hello.Duty = message.Duty
	m.mu.Unlock()
	m.writeMessage(message, addresses)
	m.writeMessage(&hello, helloAddresses)
}

// writeMessage sends a message and returns its size. Errors are ignored, as datagrams
// can be dropped by the network as well.
func (m *Mesh) writeMessage(message *Message, addresses []net.Addr) int {
	if len(addresses) == 0 {
		return 0
	}
	bytes := message.Append(make([]byte, 0, 512))
	if len(bytes) > maxDatagram {
		return 0
	}
	m.writeBytes(bytes, addresses)
	return len(bytes)
}

func (m *Mesh) writeBytes(bytes []byte, addresses []net.Addr) {
	for _, address := range addresses {
		_, _ = m.conn.WriteTo(bytes, address)
	}
	m.sentDatagrams.Add(int64(len(addresses)))
	m.sentBytes.Add(int64(len(addresses) * len(bytes)))
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
		unbundle(buffer[:n], m.receiveMessage)
	}
}

// receiveMessage handles a message, unless it is this host's own.
func (m *Mesh) receiveMessage(message *Message, encoded []byte) {
	if message.Host != m.Host {
		m.handleMessage(message, encoded)
	}
}

// handleMessage records the sender and processes the message. The listener gets the
// reports of hosts in a small fleet, and those of relays in a large one. A relay
// also sums up the reports of its zone's hosts, and forwards to them the reports of
// other zones with its next one.
func (m *Mesh) handleMessage(message *Message, bytes []byte) {
	now := m.Timers.Now()
	m.mu.Lock()
	previous, ok := m.recordSender(message, now)
	if !ok {
		m.mu.Unlock()
		return
	}
	defer m.reportAhead(m.topicsAhead(message.Copies))
	m.recordDuty(message, now)
	if message.Duty != nil && m.HandleDuty != nil {
		defer m.HandleDuty(*message.Duty)
	}
	if previous.incarnation != 0 && previous.incarnation != message.Incarnation {
		defer m.Listener.HandleHostRestarted(message.Host, now.Sub(previous.lastHeardAt))
	}
	if !m.usesRelays {
		m.mu.Unlock()
		if !message.Aggregate {
			m.Listener.HandleMessage(*message)
		}
		return
	}
	isRelay := m.relayOf(m.Zone, now) == nil
	switch {
	case message.Aggregate && message.Zone != m.Zone && isRelay:
		if len(m.forwards) < maxPendingForwards && m.relayPacer.allowsForward(now) {
			m.forwards = append(m.forwards, slices.Clone(bytes))
		}
	case !message.Aggregate && message.Zone == m.Zone && isRelay && !message.ShuttingDown:
		m.zoneLoad.RecordReport(now, message.Host, message.Complete, message.Loads, message.Placements)
		m.zoneLoad.RecordNotices(now, message.Notices)
		m.zoneLoad.RecordDemands(message.Host, message.Demands)
		m.zoneLoad.RecordFindings(now, message.Findings)
		m.zoneLoad.RecordLimits(now, message.Host, message.Complete, message.Limits, message.CallDemands)
		m.zoneLoad.RecordSpeeds(now, message.Speeds)
	}
	m.mu.Unlock()
	if message.Aggregate {
		m.Listener.HandleMessage(*message)
	}
}

// recordSender updates the sender's entry and returns the previous one. It reports
// false for a message of an earlier incarnation or with an invalid address. The
// caller must hold m.mu.
func (m *Mesh) recordSender(message *Message, now time.Time) (peerHost, bool) {
	h := m.addLocked(message.Address, message.Zone, message.LinkMbps)
	if h == nil || message.Incarnation < h.incarnation {
		return peerHost{}, false
	}
	m.lastHeardAt = now
	previous := *h
	h.name = message.Host
	h.incarnation = message.Incarnation
	h.lastHeardAt = now
	h.alive = !message.ShuttingDown
	if previous.isCandidate(now) != h.isCandidate(now) {
		m.currentRanking = nil
	}
	h.configurationVersion = message.ConfigurationVersion
	h.storeUnavailable = message.StoreUnavailable
	clear(h.copies)
	for _, c := range message.Copies {
		h.copies[c.Topic] = c
		m.observeEnd(now, c)
		if at := now.Add(-c.ReadAgo); c.Reads && at.After(m.confirmedAt[c.Topic]) {
			m.confirmedAt[c.Topic] = at
		}
	}
	return previous, true
}

// checkHosts detects silent hosts, removes those that have been silent for long,
// and switches between direct messages and relays.
func (m *Mesh) checkHosts(now time.Time) {
	var silent, replaced []string
	m.mu.Lock()
	if m.isLate(now) {
		m.resumedAt = now
	}
	m.checkedAt = now
	current := m.ranking(now)
	helloRound := time.Duration(len(m.hosts)/hellosPerHeartbeat+1) * HeartbeatInterval
	for address, h := range m.hosts {
		timeout := silenceTimeout
		if m.usesRelays && current.relayOf(h.zone, m.Zone) != h {
			timeout = max(timeout, maxMissedHelloRounds*helloRound)
		}
		if h.alive && now.Sub(h.lastHeardAt) > timeout {
			h.alive = false
			m.currentRanking = nil
			silent = append(silent, h.name)
		}
		if !h.alive && now.Sub(h.addedAt) > removalTimeout && now.Sub(h.lastHeardAt) > removalTimeout {
			delete(m.hosts, address)
			m.currentRanking = nil
		}
	}
	if usesRelays := len(m.hosts) > maxDirectHosts; usesRelays != m.usesRelays {
		m.usesRelays = usesRelays
		replaced = m.replacedSources(!usesRelays)
	}
	m.mu.Unlock()
	for _, host := range silent {
		m.Listener.HandleHostSilent(host)
	}
	for _, source := range replaced {
		m.Listener.HandleSourceReplaced(source)
	}
}
