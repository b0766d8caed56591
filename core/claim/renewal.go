package claim

import (
	"hash/fnv"
	"time"

	"cactuswell/core/record"
)

const (
	// renewalDivisor determines when a claim without an outcome is written
	// again: after Window/renewalDivisor at the earliest, after twice that at
	// the latest.
	renewalDivisor = 24
	// retainedKeysDivisor limits the keys that are retained past the window to
	// maxKeys/retainedKeysDivisor.
	retainedKeysDivisor = 8
)

// renewal is the scheduled renewal of a key without an outcome. The offset is
// that of the key's latest record at the time of scheduling.
type renewal struct {
	ref    KeyRef
	offset record.Offset
}

// scheduleRenewal schedules the renewal of the key's claims while the key has
// no outcome, so that they are in the log again before their records expire.
// The claiming host may be paused for an unbounded time and run the call
// afterwards, so the key has to stay blocked. The delay differs between hosts,
// and reading a renewed claim restarts the delay of the others.
func (m *Machine) scheduleRenewal(now time.Time, ref KeyRef) {
	target, ok := m.table.entries[ref]
	if !ok || target.renewalScheduled || !target.isUnresolved() {
		return
	}
	target.renewalScheduled = true
	wait := m.settings.Window / renewalDivisor
	m.renewals.add(now.Add(wait+m.renewalJitter(ref, wait)), renewal{
		ref:    ref,
		offset: target.offset,
	})
}

func (m *Machine) renewalJitter(ref KeyRef, within time.Duration) time.Duration {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(m.issuer.Host + "\x00" + ref.Team + "\x00" + ref.Key))
	return time.Duration(digest.Sum64() % uint64(within))
}

// renewDueClaims renews the claims whose renewal is due and schedules the next
// renewal.
func (m *Machine) renewDueClaims(now time.Time) {
	for due, ok := m.renewals.popDue(now); ok; due, ok = m.renewals.popDue(now) {
		target, known := m.table.entries[due.ref]
		if !known {
			continue
		}
		target.renewalScheduled = false
		if target.isUnresolved() && target.offset == due.offset && m.table.retain(target) {
			m.renewClaims(now, due.ref, target)
		}
		m.scheduleRenewal(now, due.ref)
	}
}

func (m *Machine) renewClaims(now time.Time, ref KeyRef, target *entry) {
	for _, id := range target.unreleased {
		if m.outbox.has(id) || m.outbox.len() >= m.settings.MaxUnwrittenRecords {
			continue
		}
		m.counts.ClaimsRenewed++
		m.enqueueRecord(now, record.KindClaim, id, claimBody{
			Team:        ref.Team,
			Key:         ref.Key,
			Fingerprint: target.fingerprint,
		})
	}
}
