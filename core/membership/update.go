package membership

import (
	"math"
	"slices"

	"cactuswell/core/endpoint"
)

const (
	// stateOverheadBytes is the approximate size of a member's state on the
	// wire without its strings.
	stateOverheadBytes = 18
	// keyOverheadBytes is the approximate size of an endpoint's key on the wire
	// without its name.
	keyOverheadBytes = 12
)

func (m *Machine) enqueueMember(e *entry, urgent bool) {
	m.queue.enqueue(updateKey{
		kind: memberUpdate,
		name: e.member.Name,
	}, urgent)
	if urgent {
		m.scheduleEagerRound()
	}
}

func (m *Machine) enqueueEndpoint(name string) {
	m.queue.enqueue(updateKey{
		kind: endpointUpdate,
		name: name,
	}, true)
	m.endpointUpdateWaiting = true
	m.scheduleEagerRound()
}

// scheduleEagerRound schedules an eager probe round for urgent updates.
func (m *Machine) scheduleEagerRound() {
	at := m.now.Add(m.settings.EagerDelay)
	if m.eagerRoundAt.IsZero() || m.endpointUpdateWaiting && m.eagerRoundAt.After(at) {
		m.eagerRoundAt = at
	}
}

// transmitLimit returns how often this host sends one update.
func (m *Machine) transmitLimit() int {
	return int(math.Ceil(m.settings.TransmitFactor * math.Log2(float64(m.table.liveCount+1))))
}

// buildMessage builds the message to the named host.
func (m *Machine) buildMessage(to string) Message {
	return Message{
		From:        m.self.member.Name,
		Incarnation: m.self.member.Incarnation,
		Digest:      m.digest(),
		Updates:     m.takeUpdates(to),
	}
}

func (m *Machine) takeUpdates(to string) Updates {
	updates := Updates{
		Heads: slices.Clone(m.heads),
	}
	normalBytes := m.updateByteAllowance()
	urgentBytes := max(normalBytes, m.settings.UrgentUpdateBytes)
	bytes := 0
	if e := m.table.get(to); e != nil && (e.status == Suspect || e.status == Dead) {
		state := wireState(e)
		updates.Members = append(updates.Members, state)
		bytes += stateBytes(state)
	}
	m.queue.sort()
	m.lastSentUpdates = nil
	for _, item := range m.queue.items {
		allowed := normalBytes
		if item.urgent {
			allowed = urgentBytes
		}
		if item.urgent && len(m.lastSentUpdates) == 0 {
			allowed = m.settings.UpdateBytes
		}
		size, ok := m.appendUpdate(&updates, item.key, to, allowed-bytes)
		if ok {
			item.transmitCount++
			bytes += size
			m.lastSentUpdates = append(m.lastSentUpdates, *item)
		}
	}
	m.updateBytesBucket.take(m.now, float64(bytes))
	m.queue.dropFullySent(m.transmitLimit())
	m.counters.UpdatesDropped = m.queue.evictedCount
	return updates
}

// updateByteAllowance returns how many bytes of updates the next message may
// contain. Urgent updates may take UrgentUpdateBytes in any case, and the first
// urgent one any size up to UpdateBytes.
func (m *Machine) updateByteAllowance() int {
	return min(m.settings.UpdateBytes, int(m.updateBytesBucket.available(m.now)))
}

// appendUpdate adds one update and returns its size in bytes, or false if there
// is no room for it. An update that the receiver must know anyway, or about a
// member or endpoint that is no longer known here, counts as sent.
func (m *Machine) appendUpdate(updates *Updates, key updateKey, to string, room int) (int, bool) {
	if key.kind == endpointUpdate {
		return m.appendEndpointUpdate(updates, key.name, room)
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
	updates.Members = append(updates.Members, state)
	return size, true
}

func (m *Machine) appendEndpointUpdate(updates *Updates, name string, room int) (int, bool) {
	incarnation, ok := m.endpoints.leaving[name]
	if !ok {
		return 0, true
	}
	size := keyOverheadBytes + len(name)
	if size > room {
		return 0, false
	}
	updates.LeavingEndpoints = append(updates.LeavingEndpoints, endpoint.Key{
		Name:        name,
		Incarnation: incarnation,
	})
	return size, true
}

// wireState returns the entry's state, without address and zone unless the
// member is alive: other statuses are of use only to a receiver that knows the
// member already.
func wireState(e *entry) MemberState {
	state := e.state()
	if state.Status != Alive {
		state.Address = ""
		state.Zone = ""
	}
	return state
}

func stateBytes(state MemberState) int {
	size := stateOverheadBytes + len(state.Name)
	if state.Address != "" {
		size += 4 + len(state.Address) + len(state.Zone)
	}
	return size
}

// applyMessage applies a peer's message.
func (m *Machine) applyMessage(message Message) {
	for _, state := range message.Updates.Members {
		m.applyState(state)
	}
	for _, key := range message.Updates.LeavingEndpoints {
		m.recordLeavingEndpoint(key)
	}
	for _, head := range message.Updates.Heads {
		m.emit(HeadAdvertised{
			Name:        message.From,
			Incarnation: message.Incarnation,
			Stream:      head.Stream,
			NextOffset:  head.NextOffset,
		})
	}
}
