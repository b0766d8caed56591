package membership

// startLeave announces to the neighbors that this host leaves. The host answers
// probes until its caller stops it.
func (m *Machine) startLeave() {
	if m.leaving {
		return
	}
	m.leaving = true
	m.leaveDeadline = m.now.Add(m.settings.LeaveTimeout)
	m.self.version++
	m.table.setStatus(m.self, Left)
	m.enqueueMember(m.self, true)
	m.eagerBucket.tokens = max(m.eagerBucket.tokens, 1)
}

// completeLeaveIfDue completes the leave when as many neighbors have answered
// as there are, or after LeaveTimeout.
func (m *Machine) completeLeaveIfDue() {
	if !m.leaving || m.leaveCompleted {
		return
	}
	if m.leaveAnswerCount < len(m.slots) && m.leaveDeadline.After(m.now) {
		return
	}
	m.leaveCompleted = true
	m.emit(LeaveCompleted{})
}
