package claim

import (
	"slices"
	"time"

	"cactuswell/core/record"
)

func (m *Machine) handleRequest(now time.Time, event DecisionRequested) {
	waiting := &call{
		id: event.Call,
		ref: KeyRef{
			Team: event.Team,
			Key:  event.Key,
		},
		fingerprint: event.Fingerprint,
		deadline:    event.Deadline,
	}
	if decision := m.admit(waiting); decision != nil {
		m.decide(waiting, decision)
		return
	}
	m.calls[waiting.id] = waiting
	m.deadlines.add(waiting.deadline, waiting.id)
	m.evaluate(now, waiting)
}

// admit decides the calls that can be decided without looking up their key. It
// returns nil for the others.
func (m *Machine) admit(waiting *call) Decision {
	if waiting.ref.Key == "" {
		return m.grantUnkeyed(waiting)
	}
	if err := validateKeyRef(waiting.ref); err != nil {
		return invalidKey(err)
	}
	if IsIssued(waiting.ref.Key) {
		key, err := ParseIssued(waiting.ref.Team, waiting.ref.Key)
		if err != nil {
			return invalidKey(err)
		}
		waiting.issuedKey = key
		waiting.isIssued = true
	}
	if len(m.calls) >= m.settings.MaxCalls {
		return m.refusal(RefuseTooManyCalls, true)
	}
	return nil
}

func (m *Machine) grantUnkeyed(waiting *call) Decision {
	if m.shuttingDown {
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

// evaluate decides a waiting call if that is possible now; otherwise the call
// keeps waiting.
func (m *Machine) evaluate(now time.Time, waiting *call) {
	if waiting.isIssued && waiting.issuedKey.Issuer == m.issuer {
		m.evaluateOwnIssued(now, waiting)
		return
	}
	if waiting.claimID != "" && m.table.Lookup(waiting.ref).Outcome == nil {
		m.registerWaiter(waiting)
		return
	}
	m.withdrawClaim(now, waiting)
	state := m.table.Lookup(waiting.ref)
	switch {
	case state.Blocked:
		m.evaluateBlocked(waiting, state)
	case waiting.isIssued:
		m.evaluateForeignIssued(now, waiting)
	case m.isExpiredKey(now, waiting.ref.Key):
		m.decide(waiting, m.refusal(RefuseKeyExpired, true))
	default:
		m.proposeClaim(now, waiting)
	}
}

func (m *Machine) evaluateBlocked(waiting *call, state KeyState) {
	switch {
	case state.HasOtherFingerprint(waiting.fingerprint):
		m.decide(waiting, Mismatch{})
	case state.Outcome != nil:
		m.decide(waiting, decisionForOutcome(*state.Outcome))
	default:
		m.registerWaiter(waiting)
	}
}

// evaluateForeignIssued handles a key that was issued by another host or by an
// earlier instance on this host.
func (m *Machine) evaluateForeignIssued(now time.Time, waiting *call) {
	switch m.table.stoppedIssuers.lookup(waiting.issuedKey) {
	case issuedUsed:
		m.decide(waiting, Unknown{Reason: UnknownIssuerStopped})
	case issuedUnused:
		m.proposeClaim(now, waiting)
	case issuedNotPublished:
		m.decideForward(waiting)
	}
}

// decideForward decides that the call must be forwarded to the issuer of its
// key. If the issuer is an earlier instance on this host, it no longer exists
// and the outcome is unknown.
func (m *Machine) decideForward(waiting *call) {
	if waiting.issuedKey.Issuer.Host == m.issuer.Host {
		m.decide(waiting, Unknown{Reason: UnknownIssuerStopped})
		return
	}
	m.decide(waiting, Forward{Issuer: waiting.issuedKey.Issuer})
}

// evaluateOwnIssued handles a key that this instance issued. No other host runs
// such a key, so the log is not needed.
func (m *Machine) evaluateOwnIssued(now time.Time, waiting *call) {
	sequence := waiting.issuedKey.Sequence
	target, used := m.issued.used[sequence]
	switch {
	case sequence >= m.issued.nextSequence:
		m.decide(waiting, Invalid{Reason: KeyNeverIssued})
	case sequence < m.issued.firstSequence:
		m.decide(waiting, Unknown{Reason: UnknownExpired})
	case used && target.fingerprint != waiting.fingerprint:
		m.decide(waiting, Mismatch{})
	case used && target.outcome != nil:
		m.decide(waiting, decisionForOutcome(*target.outcome))
	case used:
		m.registerWaiter(waiting)
	case m.shuttingDown:
		m.decide(waiting, m.refusal(RefuseStopping, false))
	case len(m.issued.used) >= m.settings.MaxKeys:
		m.decide(waiting, m.refusal(RefuseTableFull, false))
	case m.issued.usedPerTeam[waiting.ref.Team] >= m.settings.MaxTeamKeys:
		m.decide(waiting, m.refusal(RefuseTeamFull, false))
	default:
		m.issued.markUsed(waiting.ref.Team, sequence, waiting.fingerprint)
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

// proposeClaim writes a claim for the call, unless a claim of another call of
// this host for the same key is pending.
func (m *Machine) proposeClaim(now time.Time, waiting *call) {
	switch {
	case m.claimByKey[waiting.ref] != "":
		m.registerWaiter(waiting)
	case m.shuttingDown:
		m.decide(waiting, m.refusal(RefuseStopping, true))
	case m.table.HasUnreadableClaim():
		m.decide(waiting, m.refusal(RefuseNewerRecords, true))
	case m.table.KeyCount()+len(m.callByClaim) >= m.settings.MaxKeys:
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
	waiting.claimID = m.newID("claim")
	waiting.claimedAt = now
	m.callByClaim[waiting.claimID] = waiting.id
	m.claimByKey[waiting.ref] = waiting.claimID
	m.enqueueRecord(now, record.KindClaim, waiting.claimID, claimBody{
		Team:        waiting.ref.Team,
		Key:         waiting.ref.Key,
		Fingerprint: waiting.fingerprint,
	})
	m.registerWaiter(waiting)
}

// withdrawClaim withdraws the call's claim, which was not granted. If the claim
// may be in the log already or may still arrive there, a release is written.
func (m *Machine) withdrawClaim(now time.Time, waiting *call) {
	id := waiting.claimID
	if id == "" {
		return
	}
	waiting.claimID = ""
	delete(m.callByClaim, id)
	delete(m.claimByKey, waiting.ref)
	if neverAppended := m.outbox.remove(id); neverAppended {
		return
	}
	m.writeRelease(now, waiting.ref, id)
}

func (m *Machine) writeRelease(now time.Time, ref KeyRef, id string) {
	m.enqueueRecord(now, record.KindClaimRelease, m.newID("release"), releaseBody{
		Team:  ref.Team,
		Key:   ref.Key,
		Claim: id,
	})
}

func (m *Machine) grantClaim(waiting *call) {
	delete(m.callByClaim, waiting.claimID)
	delete(m.claimByKey, waiting.ref)
	m.decide(waiting, Run{
		Grant: Grant{
			ID:          waiting.claimID,
			Ref:         waiting.ref,
			Fingerprint: waiting.fingerprint,
			StartBefore: waiting.claimedAt.Add(m.settings.MaxGrantAge),
			kind:        grantClaimed,
		},
	})
}

// endWait decides a call that cannot wait any longer, as its deadline passed,
// it was canceled or the host is shutting down.
func (m *Machine) endWait(now time.Time, waiting *call, reason RefuseReason) {
	m.withdrawClaim(now, waiting)
	if m.isBlocked(waiting) {
		m.decide(waiting, Unknown{Reason: UnknownNoOutcome})
	} else {
		m.decide(waiting, m.refusal(reason, true))
	}
	m.reevaluate(now, waiting.ref)
}

// isBlocked reports whether the call's key is known to be claimed or to have an
// outcome. A key that this instance issued counts as such.
func (m *Machine) isBlocked(waiting *call) bool {
	if waiting.isIssued && waiting.issuedKey.Issuer == m.issuer {
		return true
	}
	return m.table.Lookup(waiting.ref).Blocked
}

// reevaluate evaluates the calls that wait for a key again.
func (m *Machine) reevaluate(now time.Time, ref KeyRef) {
	for _, id := range slices.Clone(m.waitersByKey[ref]) {
		if waiting, ok := m.calls[id]; ok {
			m.evaluate(now, waiting)
		}
	}
}

func (m *Machine) handleFinished(now time.Time, event CallFinished) {
	grant := event.Grant
	outcome := event.Outcome.bounded()
	switch grant.kind {
	case grantOnce:
		return
	case grantIssued:
		// The outcome of a grant of an earlier instance is written, too.
		if grant.issuer == m.issuer && !m.issued.recordOutcome(grant.sequence, outcome) {
			return
		}
		m.writeOutcome(now, grant, "", outcome)
	case grantClaimed:
		m.table.RecordOutcome(grant.Ref, grant.Fingerprint, outcome)
		m.writeOutcome(now, grant, grant.ID, outcome)
	}
	m.reevaluate(now, grant.Ref)
}

func (m *Machine) writeOutcome(now time.Time, grant Grant, claim string, outcome Outcome) {
	if m.outbox.len() >= m.settings.MaxUnwrittenRecords {
		m.counts.OutcomesDropped++
		return
	}
	m.enqueueRecord(now, record.KindClaimOutcome, m.newID("outcome"), outcomeBody{
		Team:        grant.Ref.Team,
		Key:         grant.Ref.Key,
		Claim:       claim,
		Fingerprint: grant.Fingerprint,
		Outcome:     outcome,
	})
}

func (m *Machine) handleAbandoned(now time.Time, grant Grant) {
	switch grant.kind {
	case grantOnce:
		return
	case grantIssued:
		if m.shuttingDown || grant.issuer != m.issuer {
			// The key may have been published as used, or it was issued by an
			// earlier instance.
			return
		}
		m.issued.unmarkUsed(grant.sequence)
	case grantClaimed:
		m.writeRelease(now, grant.Ref, grant.ID)
	}
	m.reevaluate(now, grant.Ref)
}

func (m *Machine) handleIssueRequest(event IssueRequested) {
	if m.shuttingDown {
		m.emit(Decide{
			Call:     event.Call,
			Decision: m.refusal(RefuseStopping, false),
		})
		return
	}
	m.counts.Issued++
	m.emit(Issue{
		Call: event.Call,
		Key:  m.issued.issue().Encode(event.Team),
	})
}

func (m *Machine) handleShutdown(now time.Time) {
	if m.shuttingDown {
		return
	}
	m.shuttingDown = true
	for _, body := range m.issued.keysUsedRecords(m.position) {
		m.enqueueRecord(now, record.KindKeysUsed, m.newID("keysUsed"), body)
	}
	for _, id := range m.sortedCallIDs() {
		if waiting := m.calls[id]; waiting != nil && waiting.claimID != "" {
			m.endWait(now, waiting, RefuseStopping)
		}
	}
}

func (m *Machine) enqueueRecord(now time.Time, kind record.Kind, id string, body any) {
	data, err := encodeRecord(kind, id, m.issuer.Host, body)
	if err != nil {
		// Every body is limited to far less than the maximum size of a record.
		panic(err)
	}
	m.outbox.add(now, id, data)
}

func (m *Machine) registerWaiter(waiting *call) {
	if waiting.registered {
		return
	}
	waiting.registered = true
	m.waitersByKey[waiting.ref] = append(m.waitersByKey[waiting.ref], waiting.id)
}

func (m *Machine) decide(waiting *call, decision Decision) {
	delete(m.calls, waiting.id)
	ids := m.waitersByKey[waiting.ref]
	if i := slices.Index(ids, waiting.id); i >= 0 {
		ids = slices.Delete(ids, i, i+1)
		m.waitersByKey[waiting.ref] = ids
	}
	if len(ids) == 0 {
		delete(m.waitersByKey, waiting.ref)
	}
	m.countDecision(decision)
	m.emit(Decide{
		Call:     waiting.id,
		Decision: decision,
	})
}

func (m *Machine) countDecision(decision Decision) {
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

func invalidKey(err error) Decision {
	reason := KeyMalformed
	if keyErr, ok := err.(*KeyError); ok { //nolint:errorlint // Made unwrapped by this package.
		reason = keyErr.Reason
	}
	return Invalid{Reason: reason}
}

func decisionForOutcome(outcome Outcome) Decision {
	if outcome.Unknown {
		return Unknown{Reason: UnknownRecorded}
	}
	return Replay{Outcome: outcome}
}
