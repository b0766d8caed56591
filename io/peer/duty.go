package peer

import (
	"encoding/binary"
	"time"
)

// dutyMaxAge is the age up to which a relay passes on the announcement of a holder: two heartbeats
// and some network delay. Then only a later one shows that the holder is alive.
const dutyMaxAge = 1200 * time.Millisecond

// Duty is the announcement of the host that holds the lease on the singleton duties.
type Duty struct {
	Host    string
	Address string
	// Token is the fencing token of its term.
	Token int64
	// Era and Offset are the position of its last record in the store.
	Era    int64
	Offset int64
	// Released is set once it has released the lease.
	Released bool
	// Fixed is the last window whose usage is fixed, or zero.
	Fixed int64
	// Age is the time since the holder sent the announcement.
	Age time.Duration
}

// isLaterThan reports whether an announcement replaces another one.
func (d *Duty) isLaterThan(other *Duty) bool {
	if d.Token != other.Token {
		return d.Token > other.Token
	}
	if d.Released != other.Released {
		return d.Released
	}
	return d.Era > other.Era || d.Era == other.Era && d.Offset >= other.Offset
}

// heardDuty is an announcement and when it was sent.
type heardDuty struct {
	duty Duty
	at   time.Time
}

// SetDuty sets what this host announces, or ends that if it is nil. A change of the holder is sent at
// once, other changes follow with the next report.
func (m *Mesh) SetDuty(duty *Duty) {
	now := m.Timers.Now()
	m.mu.Lock()
	previous := m.ownDuty
	m.ownDuty = nil
	if duty != nil {
		m.ownDuty = &heardDuty{
			duty: *duty,
			at:   now,
		}
	}
	isUrgent := duty != nil && (previous == nil || previous.duty.Token != duty.Token ||
		previous.duty.Released != duty.Released || previous.duty.Fixed != duty.Fixed)
	m.copiesChanged = m.copiesChanged || isUrgent
	m.mu.Unlock()
	if !isUrgent {
		return
	}
	select {
	case m.copyChange <- struct{}{}:
	default:
	}
}

// announcedDuty returns the announcement for a message of this host: its own, or, of a relay, the
// last one of its zone. The caller must hold m.mu.
func (m *Mesh) announcedDuty(now time.Time, isRelay bool) *Duty {
	latest := m.ownDuty
	if z := m.zoneDuty; isRelay && z != nil && now.Sub(z.at) < dutyMaxAge && (latest == nil || z.duty.isLaterThan(&latest.duty)) {
		latest = z
	}
	if latest == nil {
		return nil
	}
	duty := latest.duty
	duty.Age = max(now.Sub(latest.at), 0)
	return &duty
}

// recordDuty keeps the announcement of a host of this zone, for the other zones. The caller must hold
// m.mu.
func (m *Mesh) recordDuty(message *Message, now time.Time) {
	if message.Duty == nil || message.Aggregate || message.Zone != m.Zone {
		return
	}
	if z := m.zoneDuty; z != nil && now.Sub(z.at) < dutyMaxAge && !message.Duty.isLaterThan(&z.duty) {
		return
	}
	isNew := m.zoneDuty == nil || m.zoneDuty.duty.Token != message.Duty.Token || m.zoneDuty.duty.Released != message.Duty.Released
	m.zoneDuty = &heardDuty{
		duty: *message.Duty,
		at:   now.Add(-message.Duty.Age),
	}
	// A relay passes on a change of the holder at once.
	m.copiesChanged = m.copiesChanged || isNew
}

// Position is a host's place among the live hosts of the fleet.
type Position struct {
	// IsComplete is set once the hosts of the fleet have been added.
	IsComplete bool
	// Rank is the number of live hosts that precede this host: those with faster links, and
	// among equals those with a lower hash. Others is the number of other live hosts.
	Rank   int
	Others int
}

// Position returns this host's place in the fleet.
func (m *Mesh) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.ranking(m.Timers.Now())
	return Position{
		IsComplete: m.knowsFleet,
		Rank:       current.before,
		Others:     current.candidates,
	}
}

// Incarnations returns the last known incarnation of each live host, by name.
func (m *Mesh) Incarnations() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make(map[string]int64, len(m.hosts))
	for _, h := range m.hosts {
		if h.alive {
			live[h.name] = max(live[h.name], h.incarnation)
		}
	}
	return live
}

// Flags of a duty.
const dutyReleased = 1

func appendDuty(to []byte, duty *Duty) []byte {
	to = appendText(to, duty.Host)
	to = appendText(to, duty.Address)
	flags := byte(0)
	if duty.Released {
		flags |= dutyReleased
	}
	to = append(to, flags)
	to = binary.AppendVarint(to, duty.Token)
	to = binary.AppendVarint(to, duty.Era)
	to = binary.AppendVarint(to, duty.Offset)
	to = binary.AppendVarint(to, duty.Fixed)
	return appendMillis(to, duty.Age)
}

func (d *decoder) duty() *Duty {
	duty := &Duty{
		Host:    d.text(),
		Address: d.text(),
	}
	duty.Released = d.byte()&dutyReleased != 0
	duty.Token = d.varint()
	duty.Era = d.varint()
	duty.Offset = d.varint()
	duty.Fixed = d.varint()
	duty.Age = d.millis()
	return duty
}
