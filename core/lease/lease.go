// Package lease decides which host may give the orders of a pool. A lease is a
// record in the platform's log, and its offset is the fencing number.
//
// # Usage
//
//	machine := lease.New(lease.DefaultSettings(), "drafting", "host-1", incarnation, now)
//	machine.Apply(stored.Offset, stored.Data, now)
//	if claim, id, ok := machine.Next(now); ok {
//		// append the claim's record
//	}
//	fencing, err := machine.MayOrder(now, descriptor.ChecksFencing)
//
// # Acceptance
//
// A claim names the offset up to which its writer had read, and is accepted if
// no record of the same pool stands between that offset and its own. Every
// reader finds the same, from whichever offset it started.
//
// # Lapse
//
// The holder counts its lease from before the record was sent, on the clock
// that ran faster. Another host claims only after the pool had no record for a
// whole lease and a margin, on the clock that ran slower. Nothing is renewed
// without the log, so an outage of the log ends the lease.
package lease

import (
	"fmt"
	"time"

	"cactuswell/core/record"
)

// Machine follows the leases of one pool for one host. It is used by one
// goroutine.
type Machine struct {
	settings    Settings
	pool        string
	holder      string
	incarnation uint64
	// next is the offset in front of which all records were applied.
	next record.Offset
	// last is the offset of the pool's latest record, or -1. It was read at
	// lastAt and may hold for lastDuration.
	last         record.Offset
	lastAt       Instant
	lastDuration time.Duration
	// current is the latest accepted claim, and term the fencing number: the
	// offset at which its holder's present term began.
	current Claim
	term    record.Offset
	// pending is the id of this host's latest claim, sent at sentAt, or empty
	// once that was accepted.
	pending  string
	sentAt   Instant
	attempts uint64
	// held says that this host has the lease, unless it lapsed since. The lease
	// counts from validFrom, when the latest accepted claim was sent.
	held      bool
	validFrom Instant
	// termSince is when this host read that its term began. For waitOut from
	// then on, orders of earlier holders may take effect.
	termSince Instant
	waitOut   time.Duration
}

// New returns a machine that has read nothing. The pool's first claim is made
// only when a whole lease has passed since now.
func New(settings Settings, pool, holder string, incarnation uint64, now Instant) *Machine {
	return &Machine{
		settings:     settings,
		pool:         pool,
		holder:       holder,
		incarnation:  incarnation,
		last:         -1,
		lastAt:       now,
		lastDuration: settings.Duration,
	}
}

// Offset returns the offset of the next record to apply.
func (m *Machine) Offset() record.Offset { return m.next }

// Skip says that the log keeps no record before oldest any more.
func (m *Machine) Skip(oldest record.Offset) {
	m.next = max(m.next, oldest)
}

// Holder returns the name of the latest accepted claimant, which may have
// lapsed, and its fencing number. The name is empty if none is known.
func (m *Machine) Holder() (string, record.Offset) { return m.current.Holder, m.term }

// Apply takes the record at offset, which must be the next one or later. The
// error is that of a record that was skipped.
func (m *Machine) Apply(offset record.Offset, data []byte, now Instant) error {
	if offset < m.next {
		return nil
	}
	claim, id, err := decode(data)
	if err != nil {
		m.next = offset + 1
		return err
	}
	m.Take(offset, claim, id, now)
	return nil
}

// Take takes the claim of the record at offset, as Apply does.
func (m *Machine) Take(offset record.Offset, claim Claim, id string, now Instant) {
	if offset < m.next {
		return
	}
	m.next = offset + 1
	if claim.Pool != m.pool {
		return
	}
	accepted := m.last < claim.AsOf && claim.AsOf <= offset
	m.last = offset
	m.lastAt = now
	m.lastDuration = max(claim.duration(), m.settings.Duration)
	if accepted {
		m.accept(offset, claim, id, now)
	}
}

func (m *Machine) accept(offset record.Offset, claim Claim, id string, now Instant) {
	earlier := m.current
	own := id == m.pending && claim.Holder == m.holder && claim.Incarnation == m.incarnation
	renewed := claim.Renewal && earlier.Holder == claim.Holder && earlier.Incarnation == claim.Incarnation
	m.current = claim
	if !renewed {
		m.term = offset
	}
	if !own {
		// A claim of this host that it has given up counts as another's.
		m.held = false
		return
	}
	m.validFrom = m.sentAt
	m.pending = ""
	if renewed && m.held {
		return
	}
	m.held = true
	m.term = offset
	m.termSince = now
	m.waitOut = max(earlier.duration(), m.settings.Duration) + m.settings.LongestOrder + m.settings.Margin
}

// Next returns the claim to append now and its record's id, if there is one.
// The caller appends it at once; whether it was accepted is read from the log.
func (m *Machine) Next(now Instant) (Claim, string, bool) {
	if m.pending != "" && now.AtLeast(m.sentAt) < m.settings.RenewEvery {
		return Claim{}, "", false
	}
	valid := m.Valid(now)
	switch {
	case valid && now.AtMost(m.validFrom) < m.settings.RenewEvery:
		return Claim{}, "", false
	case !valid && now.AtLeast(m.lastAt) < m.lastDuration+m.settings.Margin:
		return Claim{}, "", false
	}
	m.attempts++
	m.pending = fmt.Sprintf("%s.%s.%d.%d", m.pool, m.holder, m.incarnation, m.attempts)
	m.sentAt = now
	return Claim{
		Pool:        m.pool,
		Holder:      m.holder,
		Incarnation: m.incarnation,
		AsOf:        m.next,
		DurationMs:  m.settings.Duration.Milliseconds(),
		Renewal:     valid,
	}, m.pending, true
}

// Valid reports whether this host holds the lease at now.
func (m *Machine) Valid(now Instant) bool {
	if m.held && now.AtMost(m.validFrom) >= m.settings.Duration-m.settings.Margin {
		// A lapse is never undone by a clock that is set back.
		m.held = false
	}
	return m.held
}

// MayOrder returns the fencing number for an order that is sent now to an
// endpoint that checks such numbers, or does not. The error is a *LapsedError
// or a *WaitingError.
func (m *Machine) MayOrder(now Instant, checksFencing bool) (record.Offset, error) {
	if !m.Valid(now) {
		return 0, &LapsedError{Pool: m.pool}
	}
	if left := m.waitOut - now.AtLeast(m.termSince); left > 0 && !checksFencing {
		return 0, &WaitingError{
			Pool: m.pool,
			Left: left,
		}
	}
	return m.term, nil
}
