package membership

import "slices"

// applyState merges what a peer reports about a member into the view. A higher
// incarnation wins over a lower one. Within an incarnation a leave is final;
// otherwise the higher version wins, which only the member itself raises. A
// peer's report that a member is dead never removes it; it counts as a suspicion.
// A reported leave, or a higher incarnation reported as alive or left, takes
// effect at once.
func (m *Machine) applyState(state MemberState) {
	if state.Name == m.self.member.Name {
		m.applySelf(state)
		return
	}
	e := m.table.get(state.Name)
	switch {
	case e == nil:
		m.applyUnknown(state)
	case state.Incarnation > e.member.Incarnation:
		m.applyReplacement(e, state)
	case state.Incarnation < e.member.Incarnation:
		m.enqueueCorrection(e)
	case e.status == Left:
		m.enqueueLeaveCorrection(e, state)
	case state.Status == Left:
		e.version = max(e.version, state.Version)
		m.removeMember(e, Left, RemovedLeft)
		m.enqueueMember(e, true)
	case e.status == Dead:
		m.applyToDead(e, state)
	default:
		m.applyToLive(e, state)
	}
}

func (m *Machine) applyUnknown(state MemberState) {
	switch state.Status {
	case Alive, Suspect:
		if state.Address == "" {
			return
		}
		if m.table.liveCount >= m.settings.MaxMembers {
			m.counters.MembersRejected++
			return
		}
		m.admit(m.table.add(state.Name), state)
	case Left:
		e := m.table.add(state.Name)
		e.member = state.Member
		e.version = state.Version
		m.retainRemoved(e, Left)
	case Dead:
	}
}

func (m *Machine) applyReplacement(e *entry, state MemberState) {
	if state.Status != Alive && state.Status != Left {
		return
	}
	if e.isLive() {
		m.removeMember(e, Dead, RemovedReplaced)
	}
	if state.Status == Left {
		e.member.Incarnation = state.Incarnation
		e.version = state.Version
		m.retainRemoved(e, Left)
		m.enqueueMember(e, true)
		return
	}
	m.admit(e, state)
}

// admit makes a member live.
func (m *Machine) admit(e *entry, state MemberState) {
	// Status 0 takes the entry out of the counts and digests while its member
	// changes.
	m.table.setStatus(e, 0)
	m.clearContested(e)
	e.member = state.Member
	e.version = state.Version
	e.inconclusiveRounds = 0
	m.table.setStatus(e, Alive)
	m.invalidateSlotsOnAlive(e)
	m.counters.MembersJoined++
	m.emit(MemberJoined{Member: e.member})
	if !m.initialSync {
		m.enqueueMember(e, false)
	}
	m.dropCandidate(e.member)
	if state.Status == Suspect {
		m.suspect(e, false)
	}
}

func (m *Machine) applyToDead(e *entry, state MemberState) {
	if state.Version <= e.version {
		if state.Status == Alive || state.Status == Suspect {
			m.markContested(e)
		}
		return
	}
	switch state.Status {
	case Alive, Suspect:
		if state.Address == "" {
			state.Member = e.member
		}
		m.admit(e, state)
	case Dead:
		e.version = state.Version
	case Left:
	}
}

func (m *Machine) applyToLive(e *entry, state MemberState) {
	switch state.Status {
	case Alive:
		switch {
		case state.Version > e.version:
			m.refreshMember(e, state)
		case state.Version < e.version || e.status == Suspect:
			m.enqueueCorrection(e)
		}
	case Suspect, Dead:
		switch {
		case state.Version < e.version:
			m.enqueueCorrection(e)
		case e.status == Alive:
			e.version = state.Version
			m.suspect(e, false)
		default:
			e.version = state.Version
		}
	case Left:
	}
}

// refreshMember applies a higher version of a live member, which ends a
// suspicion.
func (m *Machine) refreshMember(e *entry, state MemberState) {
	e.version = state.Version
	e.member.Address = state.Address
	e.member.Zone = state.Zone
	e.inconclusiveRounds = 0
	if e.status == Suspect {
		m.clearSuspicion(e)
		m.table.setStatus(e, Alive)
		m.invalidateSlotsOnAlive(e)
	}
	m.enqueueMember(e, true)
}

// enqueueCorrection queues an update about a member of which a peer knows
// something older.
func (m *Machine) enqueueCorrection(e *entry) {
	if e.status == Dead {
		return
	}
	m.enqueueMember(e, false)
}

func (m *Machine) enqueueLeaveCorrection(e *entry, state MemberState) {
	if state.Status != Left {
		m.enqueueMember(e, false)
	}
}

// applySelf handles what a peer reports about this host.
func (m *Machine) applySelf(state MemberState) {
	switch {
	case state.Incarnation > m.self.member.Incarnation:
		m.handleHigherSelfIncarnation(state)
	case state.Incarnation < m.self.member.Incarnation:
		m.enqueueMember(m.self, false)
	case m.self.status == Left:
		m.enqueueMember(m.self, false)
	case state.Status == Alive:
		m.self.version = max(m.self.version, state.Version)
	case state.Version >= m.self.version:
		m.self.version = min(state.Version+1, maxVersion)
		m.counters.Refutations++
		m.enqueueMember(m.self, true)
	}
}

// handleHigherSelfIncarnation handles a higher incarnation under this host's name.
// A host that has not joined yet raises its own incarnation above it, as the clocks
// of two machines may differ; a host that has joined is superseded.
func (m *Machine) handleHigherSelfIncarnation(state MemberState) {
	if m.joined {
		if !m.superseded {
			m.superseded = true
			m.emit(Superseded{Incarnation: state.Incarnation})
		}
		return
	}
	// Status 0 takes the entry out of the counts and digests while its incarnation
	// changes.
	m.table.setStatus(m.self, 0)
	m.self.member.Incarnation = min(state.Incarnation+1, maxIncarnation)
	m.table.setStatus(m.self, Alive)
	m.emit(IncarnationRaised{Incarnation: m.self.member.Incarnation})
	m.enqueueMember(m.self, true)
}

// suspect starts the time in which a member can refute a suspicion. The host
// that raised it also probes the member meanwhile.
func (m *Machine) suspect(e *entry, raisedHere bool) {
	m.table.setStatus(e, Suspect)
	e.suspectUntil = m.now.Add(m.settings.SuspicionTimeout)
	e.inconclusiveRounds = 0
	m.suspects = append(m.suspects, e)
	if raisedHere {
		e.watched = true
		e.nextWatchProbeAt = m.now.Add(m.settings.ProbePeriod)
		m.watchedSuspects = append(m.watchedSuspects, e)
	}
	m.invalidateSlotsOnLoss(e)
	m.counters.Suspicions++
	m.emit(MemberSuspected{Member: e.member})
	m.enqueueMember(e, true)
}

func (m *Machine) clearSuspicion(e *entry) {
	m.suspects = without(m.suspects, e)
	if e.watched {
		e.watched = false
		m.watchedSuspects = without(m.watchedSuspects, e)
	}
}

func (m *Machine) expireSuspicions() {
	for _, e := range slices.Clone(m.suspects) {
		if !e.suspectUntil.After(m.now) {
			m.removeMember(e, Dead, RemovedDead)
		}
	}
}

// removeMember removes a member from the live ones and retains it with its new
// status.
func (m *Machine) removeMember(e *entry, status Status, reason RemovalReason) {
	if e.isLive() {
		m.clearSuspicion(e)
		m.emit(MemberRemoved{
			Member: e.member,
			Reason: reason,
		})
		m.countRemoval(reason)
		m.invalidateSlotsOnLoss(e)
	}
	m.retainRemoved(e, status)
}

func (m *Machine) countRemoval(reason RemovalReason) {
	switch reason {
	case RemovedDead:
		m.counters.MembersDead++
	case RemovedLeft:
		m.counters.MembersLeft++
	case RemovedReplaced:
		m.counters.MembersReplaced++
	}
}

// retainRemoved sets the status of a member that is no longer live and evicts the
// oldest one above MaxRemovedMembers.
func (m *Machine) retainRemoved(e *entry, status Status) {
	m.clearContested(e)
	e.removedAt = m.now
	m.table.setStatus(e, status)
	if m.table.removedCount <= m.settings.MaxRemovedMembers {
		return
	}
	if oldest := m.table.oldestRemoved(); oldest != nil {
		m.clearContested(oldest)
		m.table.remove(oldest)
	}
}

// markContested schedules an early probe of a member that is considered dead here
// and live elsewhere. Only its own answer, with a higher version, makes it live
// again.
func (m *Machine) markContested(e *entry) {
	if e.contested || e.member.Address == "" || m.now.Sub(e.removedAt) < m.settings.SuspicionTimeout {
		return
	}
	e.contested = true
	if len(m.contested) == 0 {
		m.nextContestedProbeAt = latestOf(m.nextContestedProbeAt, m.now.Add(m.jitter(m.settings.ContestedProbePeriod)/2))
	}
	m.contested = append(m.contested, e)
}

func (m *Machine) clearContested(e *entry) {
	if !e.contested {
		return
	}
	e.contested = false
	m.contested = without(m.contested, e)
}

func without(entries []*entry, removed *entry) []*entry {
	return slices.DeleteFunc(entries, func(e *entry) bool {
		return e == removed
	})
}
