package membership

import (
	"math"
	"slices"

	"cactuswell/core/endpoint"
)

const (
	// minStateBytes is about what a member's state takes on the wire without
	// its texts.
	minStateBytes = 18
	// minKeyBytes is about what an endpoint's key takes without its name.
	minKeyBytes = 12
)

func (m *Machine) enqueueMember(e *entry, urgent bool) {
	m.queue.put(newsKey{
		kind: memberNews,
		name: e.member.Name,
	}, urgent)
	if urgent {
		m.hurry()
	}
}

func (m *Machine) enqueueEndpoint(name string) {
	m.queue.put(newsKey{
		kind: endpointNews,
		name: name,
	}, true)
	m.endpointWaits = true
	m.hurry()
}

// hurry plans an early round of probes for urgent news.
func (m *Machine) hurry() {
	at := m.now.Add(m.settings.EagerDelay)
	if m.eagerAt.IsZero() || m.endpointWaits && m.eagerAt.After(at) {
		m.eagerAt = at
	}
}

// transmitLimit is how often this host passes one piece of news on.
func (m *Machine) transmitLimit() int {
	return int(math.Ceil(m.settings.TransmitFactor * math.Log2(float64(m.table.liveCount+1))))
}

// message builds what goes to the named host.
func (m *Machine) message(to string) Message {
	return Message{
		From:        m.self.member.Name,
		Incarnation: m.self.member.Incarnation,
		Digest:      m.digest(),
		Updates:     m.news(to),
	}
}

func (m *Machine) news(to string) Updates {
	news := Updates{
		Heads: slices.Clone(m.heads),
	}
	calmBytes := m.newsAllowance()
	urgentBytes := max(calmBytes, m.settings.UrgentUpdateBytes)
	bytes := 0
	if e := m.table.get(to); e != nil && (e.status == Suspect || e.status == Dead) {
		state := wireState(e)
		news.Members = append(news.Members, state)
		bytes += stateBytes(state)
	}
	m.queue.sort()
	m.lastSent = nil
	for _, item := range m.queue.items {
		allowed := calmBytes
		if item.urgent {
			allowed = urgentBytes
		}
		if item.urgent && len(m.lastSent) == 0 {
			allowed = m.settings.UpdateBytes
		}
		size, ok := m.appendItem(&news, item.key, to, allowed-bytes)
		if ok {
			item.transmits++
			bytes += size
			m.lastSent = append(m.lastSent, *item)
		}
	}
	m.newsBytes.take(m.now, float64(bytes))
	m.queue.dropSent(m.transmitLimit())
	m.counters.UpdatesDropped = m.queue.dropped
	return news
}

// newsAllowance returns how many bytes of news the next message may carry;
// urgent news may have UrgentBytes in any case, and one piece whatever its size.
func (m *Machine) newsAllowance() int {
	return min(m.settings.UpdateBytes, int(m.newsBytes.level(m.now)))
}

// appendItem adds one piece of news and returns how many bytes it took. It
// reports false if there is no room for it. What the receiver must know anyway,
// and what is not known here any more, counts as sent.
func (m *Machine) appendItem(news *Updates, key newsKey, to string, room int) (int, bool) {
	if key.kind == endpointNews {
		return m.appendEndpoint(news, key.name, room)
	}
	e := m.table.get(key.name)
	if e == nil || key.name == to {
		return 0, true
	}
	state := wireState(e)
	size := stateBytes(state)
	if size > room {
		return 0, false
	}
	news.Members = append(news.Members, state)
	return size, true
}

func (m *Machine) appendEndpoint(news *Updates, name string, room int) (int, bool) {
	incarnation, ok := m.endpoints.leaving[name]
	if !ok {
		return 0, true
	}
	size := minKeyBytes + len(name)
	if size > room {
		return 0, false
	}
	news.LeavingEndpoints = append(news.LeavingEndpoints, endpoint.Key{
		Name:        name,
		Incarnation: incarnation,
	})
	return size, true
}

// wireState leaves out the address and the zone where the news is about a member
// that the receiver must know already to make use of it.
func wireState(e *entry) MemberState {
	state := e.state()
	if state.Status != Alive {
		state.Address = ""
		state.Zone = ""
	}
	return state
}

func stateBytes(state MemberState) int {
	size := minStateBytes + len(state.Name)
	if state.Address != "" {
		size += 4 + len(state.Address) + len(state.Zone)
	}
	return size
}

// hear takes in a peer's message.
func (m *Machine) hear(message Message) {
	for _, state := range message.Updates.Members {
		m.apply(state)
	}
	for _, key := range message.Updates.LeavingEndpoints {
		m.learnEndpoint(key)
	}
	for _, head := range message.Updates.Heads {
		m.emit(HeadReported{
			Name:        message.From,
			Incarnation: message.Incarnation,
			Stream:      head.Stream,
			NextOffset:  head.NextOffset,
		})
	}
}
