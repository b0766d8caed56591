package peer

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the number of other hosts up to which each is told directly.
	smallFleet = 16
	// greeted is the number of hosts of a large fleet that a heartbeat also goes
	// to, in turn, so that all hear of each other.
	greeted = 8
	// missedRounds is the number of rounds of greetings after which a host of a
	// large fleet counts as gone.
	missedRounds = 3
	// relayEvery is the least time between two messages of a relay.
	relayEvery = 25 * time.Millisecond
)

// relayOf returns the relay of a zone, or nil if this host is it. Hosts that were
// not heard yet may be relays for a while.
func (m *Mesh) relayOf(zone string, now time.Time) *known {
	var relay *known
	for _, k := range m.hosts {
		fresh := k.heardAt.IsZero() && now.Sub(k.addedAt) < silentAfter
		if k.zone == zone && (k.alive || fresh) && (relay == nil || k.order < relay.order) {
			relay = k
		}
	}
	if zone == m.Zone && (relay == nil || xxhash.Sum64String(m.Address) < relay.order) {
		return nil
	}
	return relay
}

// relayDue reports whether this host is a relay with something to tell.
func (m *Mesh) relayDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.large && m.relayOf(m.Zone, m.Timers.Now()) == nil
}

// relay tells the zone's hosts and the other relays of the zone's work.
func (m *Mesh) relay(now time.Time) {
	m.mu.Lock()
	if !m.large || m.relayOf(m.Zone, now) != nil {
		m.mu.Unlock()
		return
	}
	full := now.Sub(m.fullAt) >= HeartbeatInterval
	if !full && (!m.zone.HasChanges() || now.Sub(m.relayAt) < relayEvery) {
		m.mu.Unlock()
		return
	}
	m.relayAt = now
	if full {
		m.fullAt = now
		m.zone.Expire(now, silentAfter)
	}
	message := m.newest
	message.Host = m.Host
	message.Zone = m.Zone
	message.Incarnation = m.Incarnation
	message.Address = m.Address
	message.Aggregate = true
	message.Complete = full
	message.Hosts = m.zone.Hosts()
	message.Load, message.Placements = m.zone.TakeTotals(now, full)
	to := append(m.zoneHosts(), m.otherRelays(now)...)
	m.mu.Unlock()
	m.write(&message, to)
	m.Listener.HandleMessage(message)
}

// zoneHosts returns the other hosts of this host's zone.
func (m *Mesh) zoneHosts() []net.Addr {
	var to []net.Addr
	for _, k := range m.hosts {
		if k.zone == m.Zone {
			to = append(to, k.to)
		}
	}
	return to
}

// otherRelays returns the relays of the other zones.
func (m *Mesh) otherRelays(now time.Time) []net.Addr {
	zones := make(map[string]bool)
	var to []net.Addr
	for _, k := range m.hosts {
		if k.zone == "" || k.zone == m.Zone || zones[k.zone] {
			continue
		}
		zones[k.zone] = true
		if relay := m.relayOf(k.zone, now); relay != nil {
			to = append(to, relay.to)
		}
	}
	return to
}

// greetings returns the hosts that hear of this one in turn.
func (m *Mesh) greetings(due bool) []net.Addr {
	if !due || len(m.hosts) == 0 {
		return nil
	}
	all := make([]*known, 0, len(m.hosts))
	for _, k := range m.hosts {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *known) int { return cmp.Compare(a.order, b.order) })
	to := make([]net.Addr, 0, greeted)
	for range min(greeted, len(all)) {
		to = append(to, all[m.greetAt%len(all)].to)
		m.greetAt++
	}
	return to
}

// sources returns those whose accounts no longer come: the zones, or the hosts.
func (m *Mesh) sources(zones bool) []string {
	var sources []string
	for _, k := range m.hosts {
		if zones {
			sources = append(sources, ZoneSource(k.zone))
			continue
		}
		sources = append(sources, k.host)
	}
	return append(sources, ZoneSource(m.Zone))
}

// ZoneSource returns the name under which a zone's work is known.
func ZoneSource(zone string) string { return "zone " + zone }
