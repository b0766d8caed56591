package peer

import (
	"cmp"
	"net"
	"slices"
	"time"

	"cactuswell/core/replica"
)

const (
	// readerMaxAge is the age up to which a message shows that its sender reads the
	// store: two heartbeats and some network delay.
	readerMaxAge = 1200 * time.Millisecond
	// maxSources bounds the sources of a view.
	maxSources = 4
)

// SetCopy sets the end of this host's copy of a topic, and whether it currently reads
// the topic from the store with success, which has last answered at readAt. The copies of
// readers and relays are sent at once, as other hosts get their changes from them and learn
// that the store answers; the others follow with the next report.
func (m *Mesh) SetCopy(c Copy, readAt time.Time) {
	m.mu.Lock()
	changed := m.copies[c.Topic] != c || m.readAt[c.Topic] != readAt
	m.copies[c.Topic] = c
	m.reachEnd(c.Topic, c.End)
	m.readAt[c.Topic] = readAt
	isRelay := m.usesRelays && m.relayOf(m.Zone, m.Timers.Now()) == nil
	m.copiesChanged = m.copiesChanged || changed && isRelay
	m.mu.Unlock()
	if !changed || !c.Reads && !isRelay {
		return
	}
	select {
	case m.copyChange <- struct{}{}:
	default:
	}
}

// MarkFleetKnown records that the hosts of the fleet have been added.
func (m *Mesh) MarkFleetKnown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knowsFleet = true
}

// copyList returns this host's copies. The caller must hold m.mu.
func (m *Mesh) copyList(now time.Time) []Copy {
	copies := make([]Copy, 0, len(m.copies))
	for _, c := range m.copies {
		if c.Reads {
			c.ReadAgo = now.Sub(m.readAt[c.Topic])
		}
		copies = append(copies, c)
	}
	slices.SortFunc(copies, func(a, b Copy) int { return cmp.Compare(a.Topic, b.Topic) })
	return copies
}

// sendCopies sends the copies of this host without a report of its load.
func (m *Mesh) sendCopies() {
	now := m.Timers.Now()
	m.mu.Lock()
	isRelay := m.usesRelays && m.relayOf(m.Zone, now) == nil
	m.mu.Unlock()
	if isRelay {
		m.relayZoneReport(now)
		return
	}
	m.mu.Lock()
	message := m.latest
	m.setSender(&message)
	message.Complete = false
	message.Copies = m.copyList(now)
	message.Duty = m.announcedDuty(now, false)
	var addresses []net.Addr
	if relay := m.relayOf(m.Zone, now); m.usesRelays && relay != nil {
		addresses = append(addresses, relay.udpAddress)
	}
	if !m.usesRelays {
		for _, h := range m.hosts {
			addresses = append(addresses, h.udpAddress)
		}
	}
	m.mu.Unlock()
	m.writeMessage(&message, addresses)
}

// topicsAhead returns the topics of which a received copy is ahead of this host's. The
// caller must hold m.mu.
func (m *Mesh) topicsAhead(copies []Copy) []string {
	var topics []string
	for _, c := range copies {
		own, ok := m.copies[c.Topic]
		if !ok || c.End.After(own.End) {
			topics = append(topics, c.Topic)
		}
	}
	return topics
}

func (m *Mesh) reportAhead(topics []string) {
	for _, topic := range topics {
		m.Listener.HandleCopyAhead(topic)
	}
}

// source is a host with a copy that is ahead, as candidate for a fetch.
type source struct {
	host      *peerHost
	reads     bool
	preferred bool
}

// View returns what is known of the other hosts' copies of a topic, for a copy of this
// host that ends at the given position. In a large fleet the preferred source of a host
// is the relay of its zone; relays and the hosts of a small fleet get the changes from
// any host.
func (m *Mesh) View(topic string, own replica.Position) replica.View {
	now := m.Timers.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.ranking(now)
	relay := current.relayOf(m.Zone, m.Zone)
	anySource := !m.usesRelays || relay == nil
	view := replica.View{
		IsComplete: m.knowsFleet,
		IsHeard:    !m.usesRelays || current.isRelay,
		Reader:     current.reader,
		Others:     current.candidates,
		Rank:       current.before,

		ConfirmedAt: m.confirmedAt[topic],
	}
	var sources []source
	for _, h := range m.hosts {
		if !h.isCandidate(now) {
			continue
		}
		c, ok := h.copies[topic]
		if !ok {
			continue
		}
		if c.Reads && now.Sub(h.lastHeardAt) <= readerMaxAge {
			view.Readers++
		}
		if c.End.After(own) {
			sources = append(sources, source{
				host:      h,
				reads:     c.Reads,
				preferred: anySource || h == relay,
			})
		}
	}
	slices.SortFunc(sources, func(a, b source) int { return m.compareSources(a, b) })
	for _, s := range sources[:min(len(sources), maxSources)] {
		view.Sources = append(view.Sources, replica.Source{
			Address:     s.host.address,
			IsPreferred: s.preferred,
		})
	}
	return view
}

// compareSources orders sources: preferred ones first, then those of this host's zone,
// then those that read the store, and then those that were heard from last.
func (m *Mesh) compareSources(a, b source) int {
	return cmp.Or(
		compareBool(b.preferred, a.preferred),
		compareBool(b.host.zone == m.Zone, a.host.zone == m.Zone),
		compareBool(b.reads, a.reads),
		b.host.lastHeardAt.Compare(a.host.lastHeardAt),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
