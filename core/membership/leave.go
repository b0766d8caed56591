package membership

// startLeave tells the neighbors that this host leaves. It answers probes until
// its owner stops it.
func (m *Machine) startLeave() {
	if m.leaving {
		return
	}
	m.leaving = true
	m.leaveUntil = m.now.Add(m.settings.LeaveTimeout)
	m.self.version++
	m.table.setStatus(m.self, Left)
	m.enqueueMember(m.self, true)
	m.eager.tokens = max(m.eager.tokens, 1)
}

// advanceLeave ends the leave when the news was sent to enough hosts that
// answered, or when its time is over.
func (m *Machine) advanceLeave() {
	if !m.leaving || m.leaveCompleted {
		return
	}
	if m.leaveAnswers < len(m.slots) && m.leaveUntil.After(m.now) {
		return
	}
	m.leaveCompleted = true
	m.emit(LeaveCompleted{})
}
