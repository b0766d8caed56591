package claim

import (
	"hash/fnv"
	"time"

	"cactuswell/core/record"
)

const (
	// carryShare is the part of the window after which a claim without an
	// outcome is written again, at the earliest; at the latest it is twice that.
	carryShare = 24
	// carriedShare is the part of the keys that may be kept in this way.
	carriedShare = 8
)

// carried is a key that was without an outcome when its claim was last read.
type carried struct {
	ref    KeyRef
	offset record.Offset
}

// watch sees to it that the key's claim is written again before the log forgets
// it, as long as it has no outcome: its claimer may be paused for longer than
// any bound and run it then, so the key has to stay blocked. Each host waits
// for another time, and a copy that is read back makes the others wait again.
func (m *Machine) watch(now time.Time, ref KeyRef) {
	target, ok := m.table.entries[ref]
	if !ok || target.watched || !target.unsettled() {
		return
	}
	target.watched = true
	wait := m.settings.Window / carryShare
	m.carries.add(now.Add(wait+m.stagger(ref, wait)), carried{
		ref:    ref,
		offset: target.offset,
	})
}

func (m *Machine) stagger(ref KeyRef, within time.Duration) time.Duration {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(m.issuer.Host + "\x00" + ref.Team + "\x00" + ref.Key))
	return time.Duration(digest.Sum64() % uint64(within))
}

// carry writes the claims that are due again.
func (m *Machine) carry(now time.Time) {
	for due, ok := m.carries.popDue(now); ok; due, ok = m.carries.popDue(now) {
		target, known := m.table.entries[due.ref]
		if !known {
			continue
		}
		target.watched = false
		if target.unsettled() && target.offset == due.offset && m.table.keep(target) {
			m.writeAgain(now, due.ref, target)
		}
		m.watch(now, due.ref)
	}
}

func (m *Machine) writeAgain(now time.Time, ref KeyRef, target *entry) {
	for _, id := range target.held {
		if m.outbox.has(id) || m.outbox.len() >= m.settings.MaxUnwrittenRecords {
			continue
		}
		m.counts.ClaimsRenewed++
		m.add(now, record.KindClaim, id, claimBody{
			Team:        ref.Team,
			Key:         ref.Key,
			Fingerprint: target.fingerprint,
		})
	}
}
