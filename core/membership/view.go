package membership

import "slices"

// apply takes in what a peer believes of a member. A higher incarnation wins
// over a lower one. Within an incarnation a leave is final, and otherwise the
// higher version wins, which only the member itself raises. A peer's word alone
// never removes a member: that it believes one dead counts as a suspicion.
func (m *Machine) apply(state MemberState) {
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
		m.correct(e)
	case e.status == Left:
		m.correctLeft(e, state)
	case state.Status == Left:
		e.version = max(e.version, state.Version)
		m.setGone(e, Left, RemovedLeft)
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
		m.remember(e, Left)
	case Dead:
	}
}

func (m *Machine) applyReplacement(e *entry, state MemberState) {
	if state.Status != Alive && state.Status != Left {
		return
	}
	if e.live() {
		m.setGone(e, Dead, RemovedReplaced)
	}
	if state.Status == Left {
		e.member.Incarnation = state.Incarnation
		e.version = state.Version
		m.remember(e, Left)
		m.enqueueMember(e, true)
		return
	}
	m.admit(e, state)
}

// admit makes a member live.
func (m *Machine) admit(e *entry, state MemberState) {
	m.table.setStatus(e, 0)
	m.forgetContest(e)
	e.member = state.Member
	e.version = state.Version
	e.silentRounds = 0
	m.table.setStatus(e, Alive)
	m.noticeAlive(e)
	m.counters.MembersJoined++
	m.emit(MemberJoined{Member: e.member})
	if !m.filling {
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
			m.contest(e)
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
			m.refresh(e, state)
		case state.Version < e.version || e.status == Suspect:
			m.correct(e)
		}
	case Suspect, Dead:
		switch {
		case state.Version < e.version:
			m.correct(e)
		case e.status == Alive:
			e.version = state.Version
			m.suspect(e, false)
		default:
			e.version = state.Version
		}
	case Left:
	}
}

// refresh takes in a higher version of a live member, which ends a suspicion.
func (m *Machine) refresh(e *entry, state MemberState) {
	e.version = state.Version
	e.member.Address = state.Address
	e.member.Zone = state.Zone
	e.silentRounds = 0
	if e.status == Suspect {
		m.endSuspicion(e)
		m.table.setStatus(e, Alive)
		m.noticeAlive(e)
	}
	m.enqueueMember(e, true)
}

// correct tells anew what is known here, as a peer holds something older.
func (m *Machine) correct(e *entry) {
	if e.status == Dead {
		return
	}
	m.enqueueMember(e, false)
}

func (m *Machine) correctLeft(e *entry, state MemberState) {
	if state.Status != Left {
		m.enqueueMember(e, false)
	}
}

// applySelf takes in what a peer believes of this host.
func (m *Machine) applySelf(state MemberState) {
	switch {
	case state.Incarnation > m.self.member.Incarnation:
		m.meetLaterSelf(state)
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

// meetLaterSelf handles a later incarnation of this host's own name. A host
// that is only starting takes a higher one, as clocks may differ between
// machines; any other has been replaced.
func (m *Machine) meetLaterSelf(state MemberState) {
	if m.joined {
		if !m.superseded {
			m.superseded = true
			m.emit(Superseded{Incarnation: state.Incarnation})
		}
		return
	}
	m.table.setStatus(m.self, 0)
	m.self.member.Incarnation = min(state.Incarnation+1, maxIncarnation)
	m.table.setStatus(m.self, Alive)
	m.emit(IncarnationRaised{Incarnation: m.self.member.Incarnation})
	m.enqueueMember(m.self, true)
}

// suspect begins the time in which a member can refute.
func (m *Machine) suspect(e *entry, mine bool) {
	m.table.setStatus(e, Suspect)
	e.suspectUntil = m.now.Add(m.settings.SuspicionTimeout)
	e.silentRounds = 0
	m.suspects = append(m.suspects, e)
	if mine {
		e.watched = true
		e.watchAt = m.now.Add(m.settings.ProbePeriod)
		m.watched = append(m.watched, e)
	}
	m.noticeLost(e)
	m.counters.Suspicions++
	m.emit(MemberSuspected{Member: e.member})
	m.enqueueMember(e, true)
}

func (m *Machine) endSuspicion(e *entry) {
	m.suspects = without(m.suspects, e)
	if e.watched {
		e.watched = false
		m.watched = without(m.watched, e)
	}
}

func (m *Machine) expireSuspicions() {
	for _, e := range slices.Clone(m.suspects) {
		if !e.suspectUntil.After(m.now) {
			m.setGone(e, Dead, RemovedDead)
		}
	}
}

// setGone removes a member from the live ones and remembers it.
func (m *Machine) setGone(e *entry, status Status, reason RemovalReason) {
	if e.live() {
		m.endSuspicion(e)
		m.emit(MemberRemoved{
			Member: e.member,
			Reason: reason,
		})
		m.countGone(reason)
		m.noticeLost(e)
	}
	m.remember(e, status)
}

func (m *Machine) countGone(reason RemovalReason) {
	switch reason {
	case RemovedDead:
		m.counters.MembersDead++
	case RemovedLeft:
		m.counters.MembersLeft++
	case RemovedReplaced:
		m.counters.MembersReplaced++
	}
}

func (m *Machine) remember(e *entry, status Status) {
	m.forgetContest(e)
	e.goneAt = m.now
	m.table.setStatus(e, status)
	if m.table.goneCount <= m.settings.MaxRemovedMembers {
		return
	}
	if oldest := m.table.oldestGone(); oldest != nil {
		m.forgetContest(oldest)
		m.table.remove(oldest)
	}
}

// contest plans an early probe of a member that is believed dead here and live
// elsewhere. Only its own answer, with a higher version, makes it live again.
func (m *Machine) contest(e *entry) {
	if e.contested || e.member.Address == "" || m.now.Sub(e.goneAt) < m.settings.SuspicionTimeout {
		return
	}
	e.contested = true
	if len(m.contested) == 0 {
		m.contestedAt = later(m.contestedAt, m.now.Add(m.jitter(m.settings.ContestedProbePeriod)/2))
	}
	m.contested = append(m.contested, e)
}

func (m *Machine) forgetContest(e *entry) {
	if !e.contested {
		return
	}
	e.contested = false
	m.contested = without(m.contested, e)
}

func without(entries []*entry, gone *entry) []*entry {
	return slices.DeleteFunc(entries, func(e *entry) bool {
		return e == gone
	})
}
