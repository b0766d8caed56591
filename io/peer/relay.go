package peer

import (
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/replica"
)

const (
	// maxDirectHosts is the number of other hosts up to which messages are sent
	// directly to each.
	maxDirectHosts = 16
	// hellosPerHeartbeat is the number of hosts to which a host of a large fleet
	// sends a hello with each heartbeat. It takes the hosts in turn, so that all
	// hosts learn of each other.
	hellosPerHeartbeat = 8
	// maxMissedHelloRounds is the number of hello rounds without a message after
	// which a host of a large fleet is considered unavailable.
	maxMissedHelloRounds = 3
	// relayInterval is the minimum time between two messages of a relay.
	relayInterval = 25 * time.Millisecond
)

// relayOf returns the relay of a zone, or nil if it is this host or if the zone has
// no candidate. The caller must hold m.mu.
func (m *Mesh) relayOf(zone string, now time.Time) *peerHost {
	return m.ranking(now).relayOf(zone, m.Zone)
}

func (r *ranking) relayOf(zone, ownZone string) *peerHost {
	if zone == ownZone && r.isRelay {
		return nil
	}
	return r.relays[zone]
}

// self returns this host as candidate for a relay.
func (m *Mesh) self() replica.Member { return newMember(m.Address, m.Zone, m.LinkMbps) }

// newMember returns a host as candidate for a relay.
func newMember(address, zone string, linkMbps float64) replica.Member {
	return replica.Member{
		Address:  address,
		Zone:     zone,
		LinkMbps: linkMbps,
		Rank:     xxhash.Sum64String(address),
		ZoneRank: xxhash.Sum64String(zone),
	}
}

// isCandidate reports whether the host may be a relay or a reader. Hosts that have sent
// no message yet are candidates for silenceTimeout.
func (h *peerHost) isCandidate(now time.Time) bool {
	return h.alive || h.lastHeardAt.IsZero() && now.Sub(h.addedAt) < silenceTimeout
}

// IsRelay reports whether relays are in use and this host is one.
func (m *Mesh) IsRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usesRelays && m.relayOf(m.Zone, m.Timers.Now()) == nil
}

// relayZoneReport sends the load of this host's zone to the hosts of the zone and
// to the relays of the others, if this host is a relay and a report is due. The hosts of
// the zone also get the reports of the other zones that have come since.
func (m *Mesh) relayZoneReport(now time.Time) {
	m.mu.Lock()
	if !m.usesRelays || m.relayOf(m.Zone, now) != nil {
		m.forwards = nil
		m.mu.Unlock()
		return
	}
	var messages [][]byte
	var relays []net.Addr
	var encoded []byte
	message, isDue := m.takeZoneReport(now)
	if isDue {
		relays = m.otherRelayAddresses(now)
		encoded = message.Append(make([]byte, 0, 512))
		messages = append(messages, encoded)
	}
	messages = append(messages, m.forwards...)
	m.forwards = nil
	if len(messages) == 0 {
		m.mu.Unlock()
		return
	}
	hosts := m.zoneAddresses()
	m.mu.Unlock()
	for _, datagram := range bundle(messages) {
		m.writePaced(now, datagram, hosts)
	}
	if encoded != nil {
		m.writePaced(now, encoded, relays)
	}
	if isDue {
		m.Listener.HandleMessage(message)
	}
}

// takeZoneReport returns the report on the load of this host's zone. It reports false if
// none is due. The caller must hold m.mu.
func (m *Mesh) takeZoneReport(now time.Time) (Message, bool) {
	complete := now.Sub(m.lastCompleteAt) >= HeartbeatInterval
	isChangeDue := (m.zoneLoad.HasChanges() || m.copiesChanged) && now.Sub(m.lastRelayedAt) >= relayInterval && m.relayPacer.allowsReport(now)
	if !complete && !isChangeDue {
		return Message{}, false
	}
	m.lastRelayedAt = now
	m.copiesChanged = false
	if complete {
		m.lastCompleteAt = now
		m.zoneLoad.Expire(now, silenceTimeout)
	}
	message := m.latest
	m.setSender(&message)
	message.Aggregate = true
	message.Complete = complete
	message.Hosts = m.zoneLoad.Hosts()
	message.Loads, message.Placements = m.zoneLoad.TakeTotals(complete)
	message.Notices = m.zoneLoad.TakeNotices(now, complete)
	message.Findings = m.zoneLoad.TakeFindings(now, complete)
	message.Limits, message.CallDemands = m.zoneLoad.TakeLimits(now, complete)
	message.Speeds = m.zoneLoad.TakeSpeeds(now)
	message.Copies = m.copyList(now)
	message.Duty = m.announcedDuty(now, true)
	if complete {
		message.Demands = m.zoneLoad.Demands()
	}
	return message, true
}

// zoneAddresses returns the addresses of the other hosts of this host's zone.
func (m *Mesh) zoneAddresses() []net.Addr {
	var addresses []net.Addr
	for _, h := range m.hosts {
		if h.zone == m.Zone {
			addresses = append(addresses, h.udpAddress)
		}
	}
	return addresses
}

// otherRelayAddresses returns the addresses of the relays of the other zones.
func (m *Mesh) otherRelayAddresses(now time.Time) []net.Addr {
	var addresses []net.Addr
	for zone, relay := range m.ranking(now).relays {
		if zone != "" && zone != m.Zone {
			addresses = append(addresses, relay.udpAddress)
		}
	}
	return addresses
}

// nextHelloAddresses returns the addresses of the hosts that get the next hellos,
// or none if no hellos are due.
func (m *Mesh) nextHelloAddresses(now time.Time, due bool) []net.Addr {
	if !due || len(m.hosts) == 0 {
		return nil
	}
	all := m.ranking(now).byRank
	addresses := make([]net.Addr, 0, hellosPerHeartbeat)
	for range min(hellosPerHeartbeat, len(all)) {
		addresses = append(addresses, all[m.nextHello%len(all)].udpAddress)
		m.nextHello++
	}
	return addresses
}

// replacedSources returns the sources that no longer report load: the zones, or the
// hosts and this host's zone.
func (m *Mesh) replacedSources(zones bool) []string {
	var sources []string
	for _, h := range m.hosts {
		if zones {
			sources = append(sources, ZoneSource(h.zone))
			continue
		}
		sources = append(sources, h.name)
	}
	return append(sources, ZoneSource(m.Zone))
}

// ZoneSource returns the source name of a zone's aggregate report.
func ZoneSource(zone string) string { return "zone " + zone }
