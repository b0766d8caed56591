package claim

import (
	"slices"
	"time"

	"cactuswell/core/record"
)

func (m *Machine) begin(now time.Time, event DecisionRequested) {
	waiting := &call{
		id: event.Call,
		ref: KeyRef{
			Team: event.Team,
			Key:  event.Key,
		},
		fingerprint: event.Fingerprint,
		deadline:    event.Deadline,
	}
	if err := m.admit(waiting); err != nil {
		m.decide(waiting, err)
		return
	}
	m.calls[waiting.id] = waiting
	m.deadlines.add(waiting.deadline, waiting.id)
	m.evaluate(now, waiting)
}

// admit decides the calls that need no state. It returns nil for the others.
func (m *Machine) admit(waiting *call) Decision {
	if waiting.ref.Key == "" {
		return m.runOnce(waiting)
	}
	if err := checkRef(waiting.ref); err != nil {
		return invalid(err)
	}
	if IsIssued(waiting.ref.Key) {
		key, err := ParseIssued(waiting.ref.Team, waiting.ref.Key)
		if err != nil {
			return invalid(err)
		}
		waiting.issued = key
		waiting.isIssued = true
	}
	if len(m.calls) >= m.settings.MaxCalls {
		return m.refusal(RefuseTooManyCalls, true)
	}
	return nil
}

func (m *Machine) runOnce(waiting *call) Decision {
	if m.leaving {
		return m.refusal(RefuseStopping, false)
	}
	return Run{
		Grant: Grant{
			ID:          m.newID("once"),
			Ref:         waiting.ref,
			Fingerprint: waiting.fingerprint,
			kind:        grantOnce,
		},
	}
}

// evaluate decides a waiting call if that is possible now.
func (m *Machine) evaluate(now time.Time, waiting *call) {
	if waiting.isIssued && waiting.issued.Issuer == m.issuer {
		m.evaluateOwn(now, waiting)
		return
	}
	if waiting.claim != "" && m.table.Lookup(waiting.ref).Outcome == nil {
		m.wait(waiting)
		return
	}
	m.withdraw(now, waiting)
	state := m.table.Lookup(waiting.ref)
	switch {
	case state.Blocked:
		m.evaluateBlocked(waiting, state)
	case waiting.isIssued:
		m.evaluateForeign(now, waiting)
	case m.expiredKey(now, waiting.ref.Key):
		m.decide(waiting, m.refusal(RefuseKeyExpired, true))
	default:
		m.propose(now, waiting)
	}
}

func (m *Machine) evaluateBlocked(waiting *call, state KeyState) {
	switch {
	case state.HasOtherFingerprint(waiting.fingerprint):
		m.decide(waiting, Mismatch{})
	case state.Outcome != nil:
		m.decide(waiting, outcomeDecision(*state.Outcome))
	default:
		m.wait(waiting)
	}
}

// evaluateForeign handles a key that another host issued, or that this host
// issued in an earlier life.
func (m *Machine) evaluateForeign(now time.Time, waiting *call) {
	switch m.table.left.lookup(waiting.issued) {
	case issuedUsed:
		m.decide(waiting, Unknown{Reason: UnknownIssuerStopped})
	case issuedUnused:
		m.propose(now, waiting)
	case issuedNotPublished:
		m.forward(waiting)
	}
}

// forward sends the call to the key's issuer. An earlier life on this host
// cannot be reached any more.
func (m *Machine) forward(waiting *call) {
	if waiting.issued.Issuer.Host == m.issuer.Host {
		m.decide(waiting, Unknown{Reason: UnknownIssuerStopped})
		return
	}
	m.decide(waiting, Forward{Issuer: waiting.issued.Issuer})
}

// evaluateOwn handles a key that this life issued. No other host ever runs it,
// so no log is needed.
func (m *Machine) evaluateOwn(now time.Time, waiting *call) {
	sequence := waiting.issued.Sequence
	target, used := m.issued.used[sequence]
	switch {
	case sequence >= m.issued.next:
		m.decide(waiting, Invalid{Reason: KeyNeverIssued})
	case sequence < m.issued.low:
		m.decide(waiting, Unknown{Reason: UnknownExpired})
	case used && target.fingerprint != waiting.fingerprint:
		m.decide(waiting, Mismatch{})
	case used && target.outcome != nil:
		m.decide(waiting, outcomeDecision(*target.outcome))
	case used:
		m.wait(waiting)
	case m.leaving:
		m.decide(waiting, m.refusal(RefuseStopping, false))
	case len(m.issued.used) >= m.settings.MaxKeys:
		m.decide(waiting, m.refusal(RefuseTableFull, false))
	case m.issued.perTeam[waiting.ref.Team] >= m.settings.MaxTeamKeys:
		m.decide(waiting, m.refusal(RefuseTeamFull, false))
	default:
		m.issued.use(waiting.ref.Team, sequence, waiting.fingerprint)
		m.decide(waiting, Run{
			Grant: Grant{
				ID:          waiting.ref.Key,
				Ref:         waiting.ref,
				Fingerprint: waiting.fingerprint,
				StartBefore: now.Add(m.settings.MaxGrantAge),
				kind:        grantIssued,
				issuer:      m.issuer,
				sequence:    sequence,
			},
		})
	}
}

// propose writes a claim for the call, unless another call of this host has
// one in progress for the same key.
func (m *Machine) propose(now time.Time, waiting *call) {
	switch {
	case m.proposed[waiting.ref] != "":
		m.wait(waiting)
	case m.leaving:
		m.decide(waiting, m.refusal(RefuseStopping, true))
	case m.table.HasUnreadableClaim():
		m.decide(waiting, m.refusal(RefuseNewerRecords, true))
	case m.table.KeyCount()+len(m.pending) >= m.settings.MaxKeys:
		m.decide(waiting, m.refusal(RefuseTableFull, true))
	case m.table.TeamKeyCount(waiting.ref.Team) >= m.settings.MaxTeamKeys:
		m.decide(waiting, m.refusal(RefuseTeamFull, true))
	case m.outbox.len() >= m.settings.MaxUnwrittenRecords:
		m.decide(waiting, m.refusal(RefuseLogUnavailable, true))
	default:
		m.writeClaim(now, waiting)
	}
}

func (m *Machine) writeClaim(now time.Time, waiting *call) {
	waiting.claim = m.newID("claim")
	waiting.claimedAt = now
	m.pending[waiting.claim] = waiting.id
	m.proposed[waiting.ref] = waiting.claim
	m.add(now, record.KindClaim, waiting.claim, claimBody{
		Team:        waiting.ref.Team,
		Key:         waiting.ref.Key,
		Fingerprint: waiting.fingerprint,
	})
	m.wait(waiting)
}

// withdraw takes back the call's claim, which was not granted. If the claim may
// be in the log, now or later, a release is written.
func (m *Machine) withdraw(now time.Time, waiting *call) {
	id := waiting.claim
	if id == "" {
		return
	}
	waiting.claim = ""
	delete(m.pending, id)
	delete(m.proposed, waiting.ref)
	if neverSent := m.outbox.remove(id); neverSent {
		return
	}
	m.release(now, waiting.ref, id)
}

func (m *Machine) release(now time.Time, ref KeyRef, id string) {
	m.add(now, record.KindClaimRelease, m.newID("release"), releaseBody{
		Team:  ref.Team,
		Key:   ref.Key,
		Claim: id,
	})
}

func (m *Machine) win(waiting *call) {
	delete(m.pending, waiting.claim)
	delete(m.proposed, waiting.ref)
	m.decide(waiting, Run{
		Grant: Grant{
			ID:          waiting.claim,
			Ref:         waiting.ref,
			Fingerprint: waiting.fingerprint,
			StartBefore: waiting.claimedAt.Add(m.settings.MaxGrantAge),
			kind:        grantClaimed,
		},
	})
}

// giveUp decides a call that can wait no longer.
func (m *Machine) giveUp(now time.Time, waiting *call, reason RefuseReason) {
	m.withdraw(now, waiting)
	if m.held(waiting) {
		m.decide(waiting, Unknown{Reason: UnknownNoOutcome})
	} else {
		m.decide(waiting, m.refusal(reason, true))
	}
	m.review(now, waiting.ref)
}

// held reports whether the call's key was granted before, as far as is known.
func (m *Machine) held(waiting *call) bool {
	if waiting.isIssued && waiting.issued.Issuer == m.issuer {
		return true
	}
	return m.table.Lookup(waiting.ref).Blocked
}

// review looks again at the calls that wait for a key.
func (m *Machine) review(now time.Time, ref KeyRef) {
	for _, id := range slices.Clone(m.byKey[ref]) {
		if waiting, ok := m.calls[id]; ok {
			m.evaluate(now, waiting)
		}
	}
}

func (m *Machine) finish(now time.Time, event CallFinished) {
	grant := event.Grant
	outcome := event.Outcome.bounded()
	switch grant.kind {
	case grantOnce:
		return
	case grantIssued:
		// A grant of an earlier life has its outcome written all the same.
		if grant.issuer == m.issuer && !m.issued.finish(grant.sequence, outcome) {
			return
		}
		m.record(now, grant, "", outcome)
	case grantClaimed:
		m.table.RecordOutcome(grant.Ref, grant.Fingerprint, outcome)
		m.record(now, grant, grant.ID, outcome)
	}
	m.review(now, grant.Ref)
}

func (m *Machine) record(now time.Time, grant Grant, claim string, outcome Outcome) {
	if m.outbox.len() >= m.settings.MaxUnwrittenRecords {
		m.counts.OutcomesDropped++
		return
	}
	m.add(now, record.KindClaimOutcome, m.newID("outcome"), outcomeBody{
		Team:        grant.Ref.Team,
		Key:         grant.Ref.Key,
		Claim:       claim,
		Fingerprint: grant.Fingerprint,
		Outcome:     outcome,
	})
}

func (m *Machine) abandon(now time.Time, grant Grant) {
	switch grant.kind {
	case grantOnce:
		return
	case grantIssued:
		if m.leaving || grant.issuer != m.issuer {
			// The key may be published as used, or belongs to an earlier life.
			return
		}
		m.issued.giveBack(grant.sequence)
	case grantClaimed:
		m.release(now, grant.Ref, grant.ID)
	}
	m.review(now, grant.Ref)
}

func (m *Machine) issue(event IssueRequested) {
	if m.leaving {
		m.command(Decide{
			Call:     event.Call,
			Decision: m.refusal(RefuseStopping, false),
		})
		return
	}
	m.counts.Issued++
	m.command(Issue{
		Call: event.Call,
		Key:  m.issued.issue().Encode(event.Team),
	})
}

func (m *Machine) leave(now time.Time) {
	if m.leaving {
		return
	}
	m.leaving = true
	for _, body := range m.issued.published(m.position) {
		m.add(now, record.KindKeysUsed, m.newID("keysUsed"), body)
	}
	for _, id := range m.sortedCalls() {
		if waiting := m.calls[id]; waiting != nil && waiting.claim != "" {
			m.giveUp(now, waiting, RefuseStopping)
		}
	}
}

func (m *Machine) add(now time.Time, kind record.Kind, id string, body any) {
	data, err := encodeBody(kind, id, m.issuer.Host, body)
	if err != nil {
		// Every body is bounded far below what a record may hold.
		panic(err)
	}
	m.outbox.add(now, id, data)
}

func (m *Machine) wait(waiting *call) {
	if waiting.waits {
		return
	}
	waiting.waits = true
	m.byKey[waiting.ref] = append(m.byKey[waiting.ref], waiting.id)
}

func (m *Machine) decide(waiting *call, decision Decision) {
	delete(m.calls, waiting.id)
	ids := m.byKey[waiting.ref]
	if i := slices.Index(ids, waiting.id); i >= 0 {
		ids = slices.Delete(ids, i, i+1)
		m.byKey[waiting.ref] = ids
	}
	if len(ids) == 0 {
		delete(m.byKey, waiting.ref)
	}
	m.count(decision)
	m.command(Decide{
		Call:     waiting.id,
		Decision: decision,
	})
}

func (m *Machine) count(decision Decision) {
	switch decision.(type) {
	case Run:
		m.counts.Granted++
	case Replay:
		m.counts.Replayed++
	case Unknown:
		m.counts.Unknown++
	case Forward:
		m.counts.Forwarded++
	case Refused:
		m.counts.Refused++
	case Mismatch:
		m.counts.Mismatch++
	case Invalid:
		m.counts.Invalid++
	}
}

func (m *Machine) refusal(reason RefuseReason, keyUnchecked bool) Refused {
	return Refused{
		Reason:       reason,
		KeyUnchecked: keyUnchecked,
		RetryAfter:   m.settings.RetryAfter,
	}
}

func invalid(err error) Decision {
	fault := KeyMalformed
	if keyErr, ok := err.(*KeyError); ok { //nolint:errorlint // Made unwrapped by this package.
		fault = keyErr.Reason
	}
	return Invalid{Reason: fault}
}

func outcomeDecision(outcome Outcome) Decision {
	if outcome.Unknown {
		return Unknown{Reason: UnknownRecorded}
	}
	return Replay{Outcome: outcome}
}
